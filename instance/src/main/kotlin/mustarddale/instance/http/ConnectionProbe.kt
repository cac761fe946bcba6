package mustarddale.instance.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import kotlinx.coroutines.CompletableDeferred

/** Opens connections that carry nothing, to see whether an address accepts them. */
public class ConnectionProbe(eventLoop: EventLoop, channelType: Class<out SocketChannel>) {
    private val bootstrap = Bootstrap()
        .group(eventLoop)
        .channel(channelType)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(NoHandler)

    /** Tries to connect to [host] and [port] and closes the connection. */
    public suspend fun connect(host: String, port: Int): ProbeResult {
        val result = CompletableDeferred<ProbeResult>()
        bootstrap.connect(host, port).addListener(
            ChannelFutureListener { future ->
                future.channel().close()
                result.complete(resultOf(future.cause()))
            }
        )
        return result.await()
    }

    private fun resultOf(failure: Throwable?): ProbeResult = when {
        failure == null -> ProbeResult.ACCEPTED
        // The library's exceptions for a refusal and for other failures have the same type.
        REFUSAL in failure.message.orEmpty() -> ProbeResult.REFUSED
        else -> ProbeResult.UNANSWERED
    }

    /** All that a probe does is to connect. */
    @ChannelHandler.Sharable
    private object NoHandler : ChannelInboundHandlerAdapter()

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 400
        const val REFUSAL = "Connection refused"
    }
}

/** What became of an attempt to connect. */
public enum class ProbeResult {
    /** A process listens there. */
    ACCEPTED,

    /** The machine runs, and no process listens there. */
    REFUSED,

    /** There was no answer in time, or the connection failed otherwise. */
    UNANSWERED
}
