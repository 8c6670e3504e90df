package org.mangoridge.http;

import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

import org.mangoridge.core.verdict.AttemptProgress;

/** Receives the body of an answer, and fails the answer if the body exceeds a maximum size. */
final class BoundedBody {

    private final int maxBytes;
    private volatile boolean headReceived;

    BoundedBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns how far the call got, assuming that its connection was established. */
    AttemptProgress progress() {
        return headReceived ? AttemptProgress.ANSWER_PARTLY_RECEIVED : AttemptProgress.REQUEST_SENT;
    }

    /** Returns the subscriber for the body; called when the head of the answer has been received. */
    BodySubscriber<byte[]> subscriber() {
        headReceived = true;
        return new LimitingSubscriber(BodySubscribers.ofByteArray());
    }

    private final class LimitingSubscriber implements BodySubscriber<byte[]> {

        private final BodySubscriber<byte[]> delegate;
        private Flow.Subscription subscription;
        private long receivedBytes;

        private LimitingSubscriber(BodySubscriber<byte[]> delegate) {
            this.delegate = delegate;
        }

        @Override
        public CompletionStage<byte[]> getBody() {
            return delegate.getBody();
        }

        @Override
        public void onSubscribe(Flow.Subscription newSubscription) {
            subscription = newSubscription;
            delegate.onSubscribe(newSubscription);
        }

        @Override
        public void onNext(List<ByteBuffer> buffers) {
            receivedBytes += buffers.stream().mapToLong(ByteBuffer::remaining).sum();
            if (receivedBytes > maxBytes) {
                subscription.cancel();
                delegate.onError(new IOException("answer body is larger than " + maxBytes + " bytes"));
                return;
            }
            delegate.onNext(buffers);
        }

        @Override
        public void onError(Throwable cause) {
            delegate.onError(cause);
        }

        @Override
        public void onComplete() {
            delegate.onComplete();
        }
    }
}
