package org.mangoridge.entry.plain;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;

import org.mangoridge.objects.ObjectStore;

/** Halts the holder of a claim at one of its platform writes, as a pause or a kill would. */
final class HaltPoint {

    private final int write;
    private final boolean afterIt;
    private final CountDownLatch halted = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);
    private int writes;

    private HaltPoint(int write, boolean afterIt) {
        this.write = write;
        this.afterIt = afterIt;
    }

    /** Returns a point before the write of that number takes effect, or after it and before its answer is seen. */
    static HaltPoint at(int write, boolean afterIt) {
        return new HaltPoint(write, afterIt);
    }

    static HaltPoint none() {
        return new HaltPoint(0, false);
    }

    void awaitHalt() throws InterruptedException {
        halted.await();
    }

    void resume() {
        resumed.countDown();
    }

    /** Returns {@code store}, halted at this point. */
    ObjectStore around(ObjectStore store) {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    boolean isPoint = method.getName().equals("write") && ++writes == write;
                    if (isPoint && !afterIt) {
                        halt();
                    }
                    try {
                        Object outcome = method.invoke(store, arguments);
                        if (isPoint && afterIt) {
                            halt();
                        }
                        return outcome;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    private void halt() throws InterruptedException {
        halted.countDown();
        resumed.await();
    }
}
