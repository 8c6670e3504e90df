package org.mangoridge.objects.http;

import java.util.List;

/** The JSON messages of the platform's object API; byte arrays are encoded in Base64. */
public final class PlatformMessages {

    /** The header of a conditional write whose value is the version that the object must have. */
    public static final String IF_MATCH = "If-Match";

    /** The header of a conditional write whose object must not exist; its value is {@code *}. */
    public static final String IF_NONE_MATCH = "If-None-Match";

    private PlatformMessages() {}

    /**
     * An object.
     *
     * @param key its key
     * @param version the store's revision at its last write
     * @param value its value; null if the object was deleted
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
     * @param revision the store's revision up to which the changes are covered
     * @param complete whether no change is missing
     * @param changes the changes; the value of a deleted object is null
     */
    public record Changes(long revision, boolean complete, List<ObjectMessage> changes) {}

    /**
     * An entry of the list of instances.
     *
     * @param id its id
     * @param zone its availability zone
     * @param peerAddress the address at which it accepts connections from other instances
     * @param leaving whether the platform is about to remove the instance
     */
    public record InstanceMessage(String id, String zone, String peerAddress, boolean leaving) {}

    /**
     * The list of instances.
     *
     * @param instances the instances
     */
    public record InstanceList(List<InstanceMessage> instances) {}
}
