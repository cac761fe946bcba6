/*
 * The connections between instances and their leader. The library's threads move the bytes;
 * messages are read and written on the event loop, where all decisions are made. A connection that
 * is silent for several reports is given up, because the other end may be gone without a word.
 */
package mustarddale.instance.serving.leader

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.peer.FrameCodec
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.FeedNews
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.serving.leadership.LeaderRecord

/** Connects the instance [self] with its leader; [eventLoop] owns all of these. */
public class LeaderConnections(
    private val self: LeaderRecord,
    private val leadership: LeaderElector,
    private val member: MemberAgent,
    private val leader: LeaderController,
    private val loans: TokenBorrower,
    private val backends: KeyedFeed,
    eventLoop: CoroutineDispatcher
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + eventLoop)
    private val codec = FrameCodec(LeaderMessage.serializer())
    private val urgent = Channel<Unit>(Channel.CONFLATED)
    private val asks = ArrayDeque<LeaderMessage.TokensWanted>()
    private var isConnected = false
    private var ownTerm: Long? = null
    private val changed = LinkedHashSet<Channel<Unit>>()

    /** Listens for instances and connects to the leader. */
    public fun start() {
        loans.send = ::ask
        scope.launch { listen() }
        scope.launch { follow() }
    }

    /** Reports at once, because requests wait for the leader. */
    public fun reportNow() {
        urgent.trySend(Unit)
    }

    /** Tells all instances what they do not know yet. */
    public fun notifyMembers() {
        changed.forEach { it.trySend(Unit) }
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private fun ask(wanted: LeaderMessage.TokensWanted): Boolean {
        val given = leader.lend(wanted)
        if (given != null) {
            loans.answered(given)
            return true
        }
        if (!isConnected || asks.size >= MAX_ASKS) return false
        asks.addLast(wanted)
        urgent.trySend(Unit)
        return true
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
            val leader = leadership.leader()?.record
            when {
                leader == null -> suspectLeader()
                leader.run == self.run -> followSelf()
                leader.instance == self.instance -> suspectLeader()
                else -> connect(leader)
            }
        }
    }

    private suspend fun suspectLeader() {
        val known = leadership.leader()
        leadership.suspectLeader()
        withTimeoutOrNull(RECONNECT_MILLIS) {
            while (leadership.leader() == known) delay(LEADER_CHECK_MILLIS)
        }
    }

    private suspend fun followSelf() {
        val report = member.report()
        val isLeading = leader.report(report)
        leader.stateFor(self.instance, report.number, seenVersion = 0)?.let {
            ownTerm = it.term
            member.apply(it)
        }
        if (!isLeading) {
            member.leaderEnded(ownTerm)
            suspectLeader()
        }
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
        isConnected = false
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
        asks.clear()
        launch { writeReports(output) }
        isConnected = true
        var term: Long? = null
        while (true) {
            when (val message = withTimeout(SILENCE_MILLIS) { codec.read(input) }) {
                is LeaderMessage.State -> {
                    term = message.term
                    leadership.heardLeader(message.term)
                    member.apply(message)
                }

                is LeaderMessage.TokensGiven -> loans.answered(message)
                is LeaderMessage.NotLeading -> {
                    member.leaderEnded(term)
                    throw IOException("the other end does not lead")
                }

                else -> throw IOException("$message from the leader")
            }
        }
    }

    private suspend fun writeReports(output: ByteWriteChannel) {
        while (true) {
            while (asks.isNotEmpty()) codec.write(output, asks.removeFirst())
            codec.write(output, member.report())
            withTimeoutOrNull(REPORT_MILLIS) { urgent.receive() }
        }
    }

    private suspend fun serve(socket: Socket): Unit = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        val signal = Channel<Unit>(Channel.CONFLATED)
        var lastReport: LeaderMessage.Report? = null
        val answers = ArrayDeque<LeaderMessage>()
        changed.add(signal)
        try {
            launch {
                val teller = Teller(output)
                while (true) {
                    signal.receive()
                    while (answers.isNotEmpty()) codec.write(output, answers.removeFirst())
                    lastReport?.let { teller.tell(it) }
                }
            }
            while (true) {
                when (val message = withTimeout(SILENCE_MILLIS) { codec.read(input) }) {
                    is LeaderMessage.Report -> {
                        leader.report(message)
                        lastReport = message
                    }

                    is LeaderMessage.TokensWanted ->
                        answers.addLast(leader.lend(message) ?: LeaderMessage.NotLeading)

                    else -> throw IOException("$message from an instance")
                }
                signal.trySend(Unit)
            }
        } finally {
            changed.remove(signal)
        }
    }

    /** Tells one instance what it does not know yet. */
    private inner class Teller(private val output: ByteWriteChannel) {
        private var seenVersion = 0L
        private var sentOffset: Long? = null

        suspend fun tell(report: LeaderMessage.Report) {
            val state = leader.stateFor(report.instance, report.number, seenVersion)
            if (state == null) {
                codec.write(output, LeaderMessage.NotLeading)
                return
            }
            seenVersion = leader.contentsVersion
            val from = listOfNotNull(sentOffset, report.backendOffset).maxOrNull()
            val news = from?.let { backends.newsSince(it) }
            if (news != null) sentOffset = news.fromOffset + news.records.size
            codec.write(output, state.copy(backends = news?.toMessage()))
        }

        private fun FeedNews.toMessage() =
            BackendNews(fromOffset, records.map { RecordBytes(it) }, ageMillis)
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

        /** Bounds what waits while the connection is slow; more requests are refused. */
        const val MAX_ASKS = 256

        /** An election takes several times as long, and each try reads the log once. */
        const val RECONNECT_MILLIS = 400L
        const val LEADER_CHECK_MILLIS = 20L
    }
}
