package mustarddale.instance.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ConnectionPoolListener
import com.linecorp.armeria.common.SessionProtocol
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.util.AttributeKey
import io.netty.util.AttributeMap
import java.net.InetSocketAddress

/** Connections to backend servers and other services. */
public object BackendConnections {
    private val guardKey = AttributeKey.valueOf<TruncationGuard>("truncation-guard")
    private val correlatorKey = AttributeKey.valueOf<ResponseCorrelator>("response-correlator")

    /** The factory of clients without settings of their own; it is never closed. */
    public val defaultFactory: ClientFactory by lazy { factoryBuilder().build() }

    /**
     * Returns a builder of factories whose clients never take a truncated response for whole, nor
     * a malformed one for an answer.
     *
     * @param requestHandler a sharable handler of requests over HTTP/1, null for none.
     * @param correlation returns how responses name their requests, null if they do not.
     */
    public fun factoryBuilder(
        requestHandler: ChannelHandler? = null,
        correlation: () -> ResponseCorrelation? = { null }
    ): ClientFactoryBuilder = ClientFactory.builder()
        .connectionPoolListener(HandlerInstaller(requestHandler, correlation))

    /** Returns the framing of the latest response on [channel], null if it is not HTTP/1. */
    public fun framingOn(channel: Channel?): BodyFraming? = channel?.attr(guardKey)?.get()?.framing

    /** Returns the response due on [channel] that was given up, null if there is none. */
    public fun givenUpOn(channel: Channel?): GivenUpResponse? =
        channel?.attr(correlatorKey)?.get()?.givenUp

    /** Adds the handlers to each new HTTP/1 connection; HTTP/2 marks the end of each response. */
    private class HandlerInstaller(
        private val requestHandler: ChannelHandler?,
        private val correlation: () -> ResponseCorrelation?
    ) : ConnectionPoolListener {
        override fun connectionOpen(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ) {
            val pipeline = (attrs as? Channel)?.pipeline() ?: return
            val codec = pipeline.context(HttpClientCodec::class.java) ?: return
            val guard = TruncationGuard()
            pipeline.addAfter(codec.name(), null, guard)
            attrs.attr(guardKey).set(guard)
            correlation()?.let {
                val filter = RepeatedResponseFilter(it)
                pipeline.addAfter(codec.name(), null, filter)
                val correlator = ResponseCorrelator(it)
                pipeline.addAfter(codec.name(), null, correlator)
                attrs.attr(correlatorKey).set(correlator)
            }
            requestHandler?.let { pipeline.addAfter(codec.name(), null, it) }
            pipeline.addAfter(codec.name(), null, PieceJoiner())
            val syntaxGuard = ResponseSyntaxGuard()
            pipeline.addBefore(codec.name(), null, syntaxGuard)
            pipeline.addAfter(codec.name(), null, syntaxGuard.codecObserver)
        }

        override fun connectionClosed(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ): Unit = Unit
    }
}
