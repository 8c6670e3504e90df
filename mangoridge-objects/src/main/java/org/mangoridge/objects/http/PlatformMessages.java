package org.mangoridge.objects.http;

import java.util.List;

/** The JSON messages of the platform's object API; byte arrays are written in Base64. */
public final class PlatformMessages {

    /** The header of a conditional write that names the version expected. */
    public static final String IF_MATCH = "If-Match";

    /** The header of a conditional write whose object must not exist; its value is {@code *}. */
    public static final String IF_NONE_MATCH = "If-None-Match";

    private PlatformMessages() {}

    /**
     * An object.
     *
     * @param key its name
     * @param version its version
     * @param value its value, or null in a deletion
     */
    public record ObjectMessage(String key, long version, byte[] value) {}

    /**
     * A list of objects.
     *
     * @param objects the objects in the order of their keys
     */
    public record ObjectList(List<ObjectMessage> objects) {}

    /**
     * The answer to a write.
     *
     * @param version the object's new version
     */
    public record Written(long version) {}

    /**
     * The answer to a watch.
     *
     * @param revision the revision reached
     * @param complete whether no change is missing
     * @param changes the changes; a deletion has no value
     */
    public record Changes(long revision, boolean complete, List<ObjectMessage> changes) {}

    /**
     * One instance.
     *
     * @param id its name
     * @param zone its availability zone
     * @param peerAddress where peers connect
     * @param leaving whether it is about to be removed
     */
    public record InstanceMessage(String id, String zone, String peerAddress, boolean leaving) {}

    /**
     * The list of instances.
     *
     * @param instances the instances
     */
    public record InstanceList(List<InstanceMessage> instances) {}
}
