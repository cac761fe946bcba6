package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription

/**
 * Reads and drops the rest of a response, so that its connection can be used again. A body of more
 * than [maxBytes] is cancelled, which closes the connection.
 */
internal class BodyDrain(private val maxBytes: Int) : Subscriber<HttpData> {
    private lateinit var subscription: Subscription
    private var readBytes = 0

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(data: HttpData) {
        readBytes += data.length()
        if (readBytes > maxBytes) subscription.cancel() else subscription.request(1)
    }

    override fun onError(cause: Throwable): Unit = Unit

    override fun onComplete(): Unit = Unit
}
