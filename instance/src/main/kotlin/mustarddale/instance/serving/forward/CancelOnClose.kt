package mustarddale.instance.serving.forward

import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import kotlinx.coroutines.Job

/** Cancels [job] when [channel] closes, which the HTTP library reports only after a second. */
internal fun cancelOnClose(channel: Channel, job: Job) {
    val listener = ChannelFutureListener { job.cancel() }
    channel.closeFuture().addListener(listener)
    job.invokeOnCompletion { channel.closeFuture().removeListener(listener) }
}
