/*
 * The connections between instances and their leader. Sockets belong to one thread of their own; all
 * decisions are made on the event loop. A connection that is silent for several reports is given up,
 * because the other end may be gone without a word.
 */
package mustarddale.instance.serving.steward

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.peer.FrameCodec
import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.leadership.LeaderRecord

/** Connects the instance [self] with its leader; [eventLoop] owns [member] and [steward]. */
public class StewardLink(
    private val self: LeaderRecord,
    private val leadership: LeadershipDuty,
    private val member: MemberDuty,
    private val steward: StewardDuty,
    private val eventLoop: CoroutineDispatcher
) : AutoCloseable {
    private val thread = Executors.newSingleThreadExecutor { task ->
        Thread(task, "steward-link").apply { isDaemon = true }
    }
    private val dispatcher = thread.asCoroutineDispatcher()
    private val selector = SelectorManager(dispatcher)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val codec = FrameCodec(StewardMessage.serializer())
    private val urgent = Channel<Unit>(Channel.CONFLATED)
    private val changed = ConcurrentHashMap.newKeySet<Channel<Unit>>()

    /** Listens for instances and connects to the leader. */
    public fun start() {
        scope.launch { listen() }
        scope.launch { follow() }
    }

    /** Reports at once, because requests wait for the leader. */
    public fun hurry() {
        urgent.trySend(Unit)
    }

    /** Tells all instances what has changed at engines. */
    public fun contentsChanged() {
        changed.forEach { it.trySend(Unit) }
    }

    override fun close() {
        scope.cancel()
        selector.close()
        thread.shutdown()
    }

    private suspend fun listen() {
        val address = InetSocketAddress(self.host, self.port)
        val listener = aSocket(selector).tcp().bind(address) { reuseAddress = true }
        while (true) {
            val socket = listener.accept()
            scope.launch { guarded(socket, "member") { serve(socket) } }
        }
    }

    private suspend fun follow() {
        while (true) {
            val leader = withContext(eventLoop) { leadership.leader()?.record }
            when {
                leader == null -> suspectLeader()
                leader.run == self.run -> followSelf()
                leader.instance == self.instance -> suspectLeader()
                else -> connect(leader)
            }
        }
    }

    private suspend fun suspectLeader() {
        withContext(eventLoop) { leadership.suspectLeader() }
        delay(RECONNECT_MILLIS)
    }

    private suspend fun followSelf() {
        val isLeading = withContext(eventLoop) {
            val report = member.report()
            steward.report(report).also { isLeading ->
                val state = steward.stateFor(self.instance, report.number, seenVersion = 0)
                if (isLeading && state != null) member.apply(state)
            }
        }
        if (!isLeading) suspectLeader()
        withTimeoutOrNull(if (isLeading) REPORT_MILLIS else 1) { urgent.receive() }
    }

    private suspend fun connect(leader: LeaderRecord) {
        val socket = try {
            withTimeout(CONNECT_TIMEOUT_MILLIS) {
                aSocket(selector).tcp().connect(InetSocketAddress(leader.host, leader.port))
            }
        } catch (e: IOException) {
            unreachable(leader, e)
            return
        } catch (e: TimeoutCancellationException) {
            unreachable(leader, e)
            return
        }
        guarded(socket, leader.instance) { reportTo(socket) }
        suspectLeader()
    }

    private suspend fun unreachable(leader: LeaderRecord, cause: Exception) {
        DecisionLog.record(
            "leader_unreachable",
            "leader" to leader.instance,
            "error" to cause.toString()
        )
        suspectLeader()
    }

    private suspend fun reportTo(socket: Socket): Unit = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        launch {
            while (true) {
                val report = withContext(eventLoop) { member.report() }
                codec.write(output, report)
                withTimeoutOrNull(REPORT_MILLIS) { urgent.receive() }
            }
        }
        while (true) {
            when (val message = withTimeout(SILENCE_MILLIS) { codec.read(input) }) {
                is StewardMessage.State -> withContext(eventLoop) { member.apply(message) }
                is StewardMessage.NotLeading -> throw IOException("the other end does not lead")
                is StewardMessage.Report -> throw IOException("a report from the leader")
            }
        }
    }

    private suspend fun serve(socket: Socket): Unit = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        val signal = Channel<Unit>(Channel.CONFLATED)
        var lastReport: StewardMessage.Report? = null
        changed.add(signal)
        try {
            launch {
                var seenVersion = 0L
                while (true) {
                    signal.receive()
                    val report = lastReport ?: continue
                    val state = withContext(eventLoop) {
                        steward.stateFor(report.instance, report.number, seenVersion)
                            ?.also { seenVersion = steward.contentsVersion }
                    }
                    codec.write(output, state ?: StewardMessage.NotLeading)
                }
            }
            while (true) {
                val message = withTimeout(SILENCE_MILLIS) { codec.read(input) }
                if (message !is StewardMessage.Report) throw IOException("not a report")
                withContext(eventLoop) { steward.report(message) }
                lastReport = message
                signal.trySend(Unit)
            }
        } finally {
            changed.remove(signal)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun guarded(socket: Socket, other: String, session: suspend () -> Unit) {
        try {
            session()
        } catch (e: TimeoutCancellationException) {
            DecisionLog.record("link_silent", "other" to other, "error" to e.toString())
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            DecisionLog.record("link_ended", "other" to other, "error" to e.toString())
        } catch (e: Exception) {
            DecisionLog.record("link_ended", "other" to other, "error" to e.toString())
        } finally {
            socket.close()
        }
    }

    private companion object {
        /** Often enough for shares to follow a burst, which lasts three seconds and more. */
        const val REPORT_MILLIS = 250L

        /** Four reports; a machine that was paused for so long has to connect anew. */
        const val SILENCE_MILLIS = 1_000L

        /** Instances are a few milliseconds apart. */
        const val CONNECT_TIMEOUT_MILLIS = 400L

        /** An election takes longer than that. */
        const val RECONNECT_MILLIS = 100L
    }
}
