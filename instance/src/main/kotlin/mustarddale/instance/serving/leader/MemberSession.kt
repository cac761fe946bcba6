/*
 * The leader's side of the connection to one instance: passes the instance's messages to the
 * leader's controller, and sends the answers and the leader's state. However often the instance
 * reports and the state changes, states have a minimum interval, because the leader has hundreds of
 * members and no more processor time than they have. Confined to the event loop.
 */
package mustarddale.instance.serving.leader

import java.io.IOException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.RelayedRecords
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/** Serves one instance with the state of [controller] and the records of [backends]. */
internal class MemberSession(
    private val controller: LeaderController,
    private val backends: KeyedFeed,
    private val clock: Clock
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val answers = ArrayDeque<LeaderMessage>()
    private val stateInterval = MinInterval(STATE_INTERVAL_MILLIS)
    private var lastReport: LeaderMessage.Report? = null
    private var isStateDue = false
    private var sentVersion = 0L
    private var sentStreamNumber = 0L
    private var sentVerdictVersion: Pair<Long, Long>? = null
    private var sentEndOffset: Long? = null
    private var sentEra = 0L
    private val newsCursor = ServerObservationsCursor()

    /** Sends the instance what has changed since the last state. */
    fun requestState() {
        isStateDue = true
        signal.trySend(Unit)
    }

    /** Processes a [message] of the instance; throws [IOException] if only leaders send it. */
    fun handle(message: LeaderMessage) {
        when (message) {
            is LeaderMessage.Report -> {
                controller.handleReport(message)
                lastReport = message
                requestState()
            }

            is LeaderMessage.StreamsBegun -> controller.handleStreams(message.streams)

            is LeaderMessage.LoanRequest -> {
                val member = lastReport?.instance.orEmpty()
                answers.addLast(controller.lend(member, message) ?: LeaderMessage.NotLeading)
                signal.trySend(Unit)
            }

            else -> throw IOException("unexpected message from an instance: $message")
        }
    }

    /** Passes all messages for the instance to [send] until cancelled. */
    suspend fun sendMessages(send: suspend (LeaderMessage) -> Unit) {
        while (true) {
            while (answers.isNotEmpty()) send(answers.removeFirst())
            val report = lastReport.takeIf { isStateDue }
            val waitMillis = stateInterval.waitMillis(clock.monotonicMillis())
            when {
                report == null -> signal.receive()

                waitMillis > 0 -> withTimeoutOrNull(waitMillis) { signal.receive() }

                else -> {
                    isStateDue = false
                    stateInterval.recordRun(clock.monotonicMillis())
                    send(stateFor(report))
                }
            }
        }
    }

    private fun stateFor(report: LeaderMessage.Report): LeaderMessage {
        val state = controller.stateFor(report.instance, report.number, sentVersion)
            ?: return LeaderMessage.NotLeading
        sentVersion = controller.contentsVersion
        val verdictVersion = state.term to controller.verdictVersion
        val hasNewVerdicts = verdictVersion != sentVerdictVersion
        sentVerdictVersion = verdictVersion
        if (sentEra != backends.era) sentEndOffset = null
        sentEra = backends.era
        val reportedOffset = report.backendOffset.takeIf { report.backendEra == backends.era }
        val fromOffset = listOfNotNull(sentEndOffset, reportedOffset).maxOrNull()
        val newRecords = fromOffset?.let { backends.recordsSince(it) }
        if (newRecords != null) sentEndOffset = newRecords.fromOffset + newRecords.records.size
        val streams = controller.streamsToKeep(report.instance, sentStreamNumber)
        sentStreamNumber = controller.lastStreamNumber
        return state.copy(
            streams = streams,
            backends = newRecords?.toMessage(),
            requestVerdicts = state.requestVerdicts.takeIf { hasNewVerdicts },
            serverObservations = controller.newsSince(newsCursor)
        )
    }

    private fun RelayedRecords.toMessage() =
        BackendNews(fromOffset, records.map { RecordBytes(it) }, ageMillis, era)

    private companion object {
        /** Below the time of an adapter load and its order, which are what waits for a state. */
        const val STATE_INTERVAL_MILLIS = 40L
    }
}
