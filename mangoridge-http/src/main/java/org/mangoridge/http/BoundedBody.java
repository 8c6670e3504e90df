package org.mangoridge.http;

import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

import org.mangoridge.core.verdict.AttemptProgress;

/** Collects an answer's body and fails it past a size. */
final class BoundedBody {

    private final int limitBytes;
    private volatile boolean started;

    BoundedBody(int limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns how far a call came that fails now after its connection stood. */
    AttemptProgress progress() {
        return started ? AttemptProgress.ANSWER_PARTLY_RECEIVED : AttemptProgress.REQUEST_SENT;
    }

    /** Returns the subscriber of the body; called when the head of the answer has come. */
    BodySubscriber<byte[]> subscriber() {
        started = true;
        return new Limiter(BodySubscribers.ofByteArray());
    }

    private final class Limiter implements BodySubscriber<byte[]> {

        private final BodySubscriber<byte[]> inner;
        private Flow.Subscription subscription;
        private long received;

        private Limiter(BodySubscriber<byte[]> inner) {
            this.inner = inner;
        }

        @Override
        public CompletionStage<byte[]> getBody() {
            return inner.getBody();
        }

        @Override
        public void onSubscribe(Flow.Subscription newSubscription) {
            subscription = newSubscription;
            inner.onSubscribe(newSubscription);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            received += buffers.stream().mapToLong(ByteBuffer::remaining).sum();
            if (received > limitBytes) {
                subscription.cancel();
                inner.onError(new IOException("answer is larger than " + limitBytes + " bytes"));
                return;
            }
            inner.onNext(buffers);
        }

        @Override
        public void onError(Throwable cause) {
            inner.onError(cause);
        }

        @Override
        public void onComplete() {
            inner.onComplete();
        }
    }
}
