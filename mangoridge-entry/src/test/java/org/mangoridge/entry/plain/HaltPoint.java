package org.mangoridge.entry.plain;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;

import org.mangoridge.objects.ObjectStore;

/** Blocks the holder of a claim at one of its platform writes, which simulates a paused or killed process. */
final class HaltPoint {

    private final int write;
    private final boolean afterWrite;
    private final CountDownLatch halted = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);
    private int writes;

    private HaltPoint(int write, boolean afterWrite) {
        this.write = write;
        this.afterWrite = afterWrite;
    }

    /**
     * Returns a halt point.
     *
     * @param write the number of the write, from 1
     * @param afterWrite whether to halt after the write has taken effect but before it returns, or else before it
     */
    static HaltPoint at(int write, boolean afterWrite) {
        return new HaltPoint(write, afterWrite);
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

    /** Returns a proxy of {@code store} that blocks at this point until {@link #resume()}. */
    ObjectStore wrap(ObjectStore store) {
        return (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(), new Class<?>[] {ObjectStore.class}, (proxy, method, arguments) -> {
                    boolean isPoint = method.getName().equals("write") && ++writes == write;
                    if (isPoint && !afterWrite) {
                        halt();
                    }
                    try {
                        Object outcome = method.invoke(store, arguments);
                        if (isPoint && afterWrite) {
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
