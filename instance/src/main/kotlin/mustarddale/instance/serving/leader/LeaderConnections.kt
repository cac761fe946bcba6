/*
 * Connections between the leader and its members, which are all instances. Library threads transfer
 * the bytes, while messages are handled on the event loop, which makes all decisions. A connection
 * without a message for several report intervals is closed, because the remote end may have gone
 * without closing it.
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
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.serving.connection.CloseReason
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/**
 * Connects this instance to its leader, and serves the other instances while it is the leader.
 *
 * @param self the id and address of this process, as written to the leadership log.
 * @param eventLoop the single-threaded dispatcher to which all other parameters are confined.
 */
public class LeaderConnections(
    private val self: LeaderRecord,
    private val elector: LeaderElector,
    private val member: MemberAgent,
    private val controller: LeaderController,
    private val loans: LeaderLoans,
    private val backends: KeyedFeed,
    private val clock: Clock,
    eventLoop: CoroutineDispatcher
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + eventLoop)
    private val codec = FrameCodec(LeaderMessage.serializer())
    private val reportSignal = Channel<Unit>(Channel.CONFLATED)
    private val outbox = ArrayDeque<LeaderMessage>()
    private val streamInterval = MinInterval(STREAM_INTERVAL_MILLIS)
    private val reportInterval = MinInterval(REPORT_INTERVAL_MILLIS)
    private val urgentReportInterval = MinInterval(URGENT_REPORT_INTERVAL_MILLIS)
    private var isUrgentReportDue = false
    private var isConnected = false
    private var ownTerm: Long? = null
    private val ownNewsCursor = ServerObservationsCursor()
    private val memberSessions = LinkedHashSet<MemberSession>()
    private val newSockets = NewSockets<Socket>(
        NewSockets.limitFor(Runtime.getRuntime().maxMemory()),
        close = {
            DecisionLog.recordRequest(
                "connection_closed",
                request = null,
                isSuccess = false,
                "kind" to CloseReason.TOO_MANY_CONNECTIONS.code,
                "port" to "peers"
            )
            it.close()
        }
    )

    /** Listens for instances and connects to the leader. */
    public fun start() {
        loans.send = ::requestLoan
        scope.launch { listen() }
        scope.launch { followLeader() }
    }

    /** Sends a report as soon as its minimum interval allows, because requests wait for it. */
    public fun reportNow() {
        isUrgentReportDue = true
        reportSignal.trySend(Unit)
    }

    /** Sends the versions of new streams, unless they were sent a moment ago. */
    public fun reportStreams() {
        val nowMillis = clock.monotonicMillis()
        if (!isConnected || streamInterval.waitMillis(nowMillis) > 0) return
        streamInterval.recordRun(nowMillis)
        outbox.addLast(LeaderMessage.StreamsBegun(member.takeUnreportedStreams()))
        reportSignal.trySend(Unit)
    }

    /** Sends all connected instances the changes that they have not yet received. */
    public fun notifyMembers() {
        memberSessions.forEach { it.requestState() }
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }

    private fun requestLoan(request: LeaderMessage.LoanRequest): Boolean {
        val answer = controller.lend(self.instance, request)
        if (answer != null) {
            loans.handleAnswer(answer)
            return true
        }
        if (!isConnected || outbox.size >= MAX_OUTBOX_MESSAGES) return false
        outbox.addLast(request)
        reportSignal.trySend(Unit)
        return true
    }

    private suspend fun listen() {
        val address = InetSocketAddress(self.host, self.port)
        aSocket(selector).tcp().bind(address) { reuseAddress = true }.use { listener ->
            while (true) {
                newSockets.awaitRoom()
                val socket = listener.accept()
                newSockets.add(socket)
                scope.launch { runSession(socket, "member") { serveMember(socket) } }
            }
        }
    }

    private suspend fun followLeader() {
        while (true) {
            val leader = elector.leader()?.record
            when {
                leader == null -> suspectLeader()
                leader.run == self.run -> reportToOwnController()
                // The record is from an earlier process of this instance.
                leader.instance == self.instance -> suspectLeader()
                else -> connect(leader)
            }
        }
    }

    private suspend fun suspectLeader() {
        val suspected = elector.leader()
        elector.suspectLeader()
        withTimeoutOrNull(RECONNECT_DELAY_MILLIS) {
            while (elector.leader() == suspected) delay(LEADER_CHECK_INTERVAL_MILLIS)
        }
    }

    private suspend fun reportToOwnController() {
        if (!awaitReportDue()) return
        val report = member.nextReport()
        val isLeading = controller.handleReport(report)
        controller.stateFor(self.instance, report.number, seenVersion = 0)?.let {
            ownTerm = it.term
            member.apply(it.copy(serverObservations = controller.newsSince(ownNewsCursor)))
        }
        if (!isLeading) {
            member.handleLeadershipEnded(ownTerm)
            suspectLeader()
        }
    }

    private suspend fun connect(leader: LeaderRecord) {
        val socket = try {
            withTimeout(CONNECT_TIMEOUT_MILLIS) {
                aSocket(selector).tcp().connect(InetSocketAddress(leader.host, leader.port))
            }
        } catch (e: IOException) {
            handleUnreachable(leader, e)
            return
        } catch (e: TimeoutCancellationException) {
            handleUnreachable(leader, e)
            return
        }
        runSession(socket, leader.instance) { runMemberSession(socket) }
        isConnected = false
        suspectLeader()
    }

    private suspend fun handleUnreachable(leader: LeaderRecord, cause: Exception) {
        DecisionLog.record(
            "leader_unreachable",
            "leader" to leader.instance,
            "error" to cause.toString()
        )
        suspectLeader()
    }

    private suspend fun runMemberSession(socket: Socket): Unit = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        outbox.clear()
        member.handleConnected()
        launch { writeReports(output) }
        isConnected = true
        var term: Long? = null
        while (true) {
            when (val message = withTimeout(SILENCE_MILLIS) { codec.read(input) }) {
                is LeaderMessage.State -> {
                    term = message.term
                    elector.recordLeaderContact(message.term, message.logEnd)
                    member.apply(message)
                }

                is LeaderMessage.LoanAnswer -> loans.handleAnswer(message)
                is LeaderMessage.NotLeading -> {
                    member.handleLeadershipEnded(term)
                    throw IOException("the remote instance is not the leader")
                }

                else -> throw IOException("unexpected message from the leader: $message")
            }
        }
    }

    private suspend fun writeReports(output: ByteWriteChannel) {
        isUrgentReportDue = true
        while (true) {
            while (outbox.isNotEmpty()) codec.write(output, outbox.removeFirst())
            if (awaitReportDue()) codec.write(output, member.nextReport())
        }
    }

    /** Waits until a report is due or something else is to be sent; true for a report. */
    private suspend fun awaitReportDue(): Boolean {
        val interval = if (isUrgentReportDue) urgentReportInterval else reportInterval
        val nowMillis = clock.monotonicMillis()
        val waitMillis = interval.waitMillis(nowMillis)
        if (waitMillis > 0) {
            withTimeoutOrNull(waitMillis) { reportSignal.receive() }
            return false
        }
        isUrgentReportDue = false
        urgentReportInterval.recordRun(nowMillis)
        reportInterval.recordRun(nowMillis)
        return true
    }

    private suspend fun serveMember(socket: Socket): Unit = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        val session = MemberSession(controller, backends, clock)
        memberSessions.add(session)
        try {
            launch { session.sendMessages { codec.write(output, it) } }
            while (true) {
                session.handle(withTimeout(SILENCE_MILLIS) { codec.read(input) })
                newSockets.remove(socket)
            }
        } finally {
            memberSessions.remove(session)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun runSession(
        socket: Socket,
        remoteName: String,
        session: suspend () -> Unit
    ) {
        try {
            session()
        } catch (e: TimeoutCancellationException) {
            DecisionLog.record("link_silent", "other" to remoteName, "error" to e.toString())
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            DecisionLog.record("link_ended", "other" to remoteName, "error" to e.toString())
        } catch (e: Exception) {
            DecisionLog.record("link_ended", "other" to remoteName, "error" to e.toString())
        } finally {
            newSockets.remove(socket)
            socket.close()
        }
    }

    private companion object {
        /** Frequent enough for shares to follow bursts, which last 3 s or more. */
        const val REPORT_INTERVAL_MILLIS = 250L

        /** The interval of reports while requests wait for a decision of the leader. */
        const val URGENT_REPORT_INTERVAL_MILLIS = 50L

        /** Four report intervals; an instance that was paused for longer has to reconnect. */
        const val SILENCE_MILLIS = 1_000L

        /** The network latency between instances is a few milliseconds. */
        const val CONNECT_TIMEOUT_MILLIS = 400L

        /** Bounds the queue while the connection is slow; further requests are refused. */
        const val MAX_OUTBOX_MESSAGES = 256

        /** Shorter than a client takes to notice a broken stream and to take it up again. */
        const val STREAM_INTERVAL_MILLIS = 100L

        /** Each attempt reads the log once; an election takes several times as long as this. */
        const val RECONNECT_DELAY_MILLIS = 400L
        const val LEADER_CHECK_INTERVAL_MILLIS = 20L
    }
}
