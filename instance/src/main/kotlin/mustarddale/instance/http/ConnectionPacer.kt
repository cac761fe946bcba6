/*
 * Holds callers' new connections unread until the event loop has time for their requests. Their
 * requests stay in the buffers of the system, where they take no processor time.
 */
package mustarddale.instance.http

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import mustarddale.serving.pacing.ReadPacing
import mustarddale.time.Clock

/**
 * Paces the reading of connections of [eventLoop], to which it is confined.
 *
 * @param canAnswer whether requests can be answered, or should not wait for it any longer.
 */
internal class ConnectionPacer(
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val canAnswer: () -> Boolean
) {
    private val held = ArrayDeque<Channel>()
    private var roundDueMillis = 0L

    /** The number of connections that wait for their turn. */
    val heldCount: Int get() = held.size

    /** Holds [channel] until it is its turn. */
    fun hold(channel: Channel) {
        channel.config().isAutoRead = false
        held.addLast(channel)
        if (held.size == 1) scheduleRound(0)
    }

    private fun scheduleRound(delayMillis: Long) {
        roundDueMillis = clock.monotonicMillis() + delayMillis
        eventLoop.schedule(::readSome, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun readSome() {
        val lagMillis = clock.monotonicMillis() - roundDueMillis
        val canAnswer = canAnswer()
        repeat(ReadPacing.connectionsToRead(canAnswer, lagMillis)) {
            held.removeFirstOrNull()?.config()?.isAutoRead = true
        }
        if (held.isNotEmpty()) scheduleRound(ReadPacing.intervalMillis(canAnswer))
    }
}
