/*
 * Appends this instance's records to the log. An append whose response was lost is retried with the
 * same sequence numbers, so that readers drop duplicates; the outcome of a record is always taken
 * from the log as read back, never inferred from the append response.
 */
package mustarddale.instance.log

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import mustarddale.control.ControlRecord
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.FoldResult
import mustarddale.control.LogRecord
import mustarddale.control.RecordStatus
import mustarddale.control.WriterId
import mustarddale.time.Clock
import org.jctools.queues.MpscArrayQueue
import org.slf4j.LoggerFactory

/** The outcome of appending a record. */
public sealed interface WriteOutcome {
    /**
     * The record is in the log at [offset] and was applied with [status].
     *
     * @property sentAtMillis monotonic time before the first attempt to append the record.
     */
    public data class Written(
        public val status: RecordStatus,
        public val offset: Long,
        public val sentAtMillis: Long
    ) : WriteOutcome

    /** The record has not taken effect and never will. */
    public data object NotWritten : WriteOutcome

    /** The record may be in the log, or may still be added later. */
    public data object Unresolved : WriteOutcome
}

/** Appends records as [writer] through [client]. */
public class RecordWriter(
    public val writer: WriterId,
    private val client: LogClient,
    private val clock: Clock,
    store: ControlStore
) : AutoCloseable {
    private val queue = MpscArrayQueue<PendingRecord>(QUEUE_CAPACITY)
    private val unresolved = ConcurrentHashMap<Long, PendingRecord>()
    private val isOpen = AtomicBoolean(true)
    private var lastSequence = 0L
    private val worker = thread(name = "log-append", isDaemon = true) { run() }

    init {
        store.addFoldListener(::resolve)
        store.addStateListener(::resolveSkipped)
    }

    /** Appends [record] and completes with its outcome within [timeoutMillis]. */
    public fun append(record: ControlRecord, timeoutMillis: Long): CompletableFuture<WriteOutcome> =
        append(record, timeoutMillis) {}

    /**
     * Appends [record] and completes with its outcome within [timeoutMillis].
     *
     * @param onLateAccept called if the record was, or may have been, accepted after the returned
     *   future completed.
     */
    public fun append(
        record: ControlRecord,
        timeoutMillis: Long,
        onLateAccept: () -> Unit
    ): CompletableFuture<WriteOutcome> {
        val deadlineMillis = clock.monotonicMillis() + timeoutMillis
        val pending = PendingRecord(record, deadlineMillis, onLateAccept)
        if (!isOpen.get() || !queue.offer(pending)) {
            return CompletableFuture.completedFuture(WriteOutcome.NotWritten)
        }
        LockSupport.unpark(worker)
        return pending.outcome
    }

    /** Completes records whose deadline has passed; must be called periodically. */
    public fun expire() {
        val now = clock.monotonicMillis()
        unresolved.values.filter { now >= it.deadlineMillis }.forEach {
            it.outcome.complete(WriteOutcome.Unresolved)
        }
        queue.forEachRecord { if (now >= it.deadlineMillis) it.cancel() }
    }

    /** Waits until all records are resolved, for at most [timeoutMillis]. */
    public fun drain(timeoutMillis: Long) {
        val endMillis = clock.monotonicMillis() + timeoutMillis
        while (isBusy() && clock.monotonicMillis() < endMillis) {
            LockSupport.parkNanos(this, DRAIN_POLL_NANOS)
        }
    }

    private fun isBusy(): Boolean = !queue.isEmpty || unresolved.isNotEmpty()

    override fun close() {
        isOpen.set(false)
        worker.interrupt()
    }

    private fun run() {
        while (isOpen.get()) {
            val batch = takeBatch()
            if (batch.isEmpty()) {
                LockSupport.parkNanos(this, IDLE_PARK_NANOS)
            } else {
                appendBatch(batch)
            }
        }
    }

    private fun takeBatch(): List<PendingRecord> = buildList {
        while (size < MAX_BATCH_RECORDS) {
            val pending = queue.poll() ?: break
            if (pending.start(clock.monotonicMillis())) add(pending)
        }
    }

    private fun appendBatch(batch: List<PendingRecord>) {
        val envelopes = batch.map { pending ->
            lastSequence += 1
            unresolved[lastSequence] = pending
            ControlState.encode(Envelope(writer, lastSequence, pending.record))
        }
        val lastDeadlineMillis = batch.maxOf { it.deadlineMillis }
        while (isOpen.get()) {
            val result = client.append(envelopes)
            if (result is AppendResult.Appended) return
            log.warn("log append failed: {}", result)
            if (clock.monotonicMillis() >= lastDeadlineMillis) return
            LockSupport.parkNanos(this, RETRY_DELAY_NANOS)
        }
    }

    private fun resolve(record: LogRecord, folded: FoldResult) {
        val envelope = folded.envelope ?: return
        if (envelope.writer != writer || folded.status == RecordStatus.Duplicate) return
        resolveSuperseded(envelope.sequence)
        val pending = unresolved.remove(envelope.sequence) ?: return
        val written = WriteOutcome.Written(folded.status, record.offset, pending.sentAtMillis)
        val isOnTime = pending.outcome.complete(written)
        if (!isOnTime && folded.status == RecordStatus.Accepted) pending.onLateAccept()
    }

    /** A replacement state hides the outcomes of the records in it, so these stay unresolved. */
    private fun resolveSkipped(state: ControlState) {
        val lastSequence = state.writers[writer]?.lastSequence ?: return
        unresolved.keys.filter { it <= lastSequence }.forEach { skipped ->
            unresolved.remove(skipped)?.let {
                it.outcome.complete(WriteOutcome.Unresolved)
                it.onLateAccept()
            }
        }
    }

    /** Readers drop a record after one with a higher sequence number, so its outcome is known. */
    private fun resolveSuperseded(sequence: Long) {
        unresolved.keys.filter { it < sequence }.forEach { superseded ->
            unresolved.remove(superseded)?.outcome?.complete(WriteOutcome.NotWritten)
        }
    }

    private class PendingRecord(
        val record: ControlRecord,
        val deadlineMillis: Long,
        val onLateAccept: () -> Unit
    ) {
        val outcome = CompletableFuture<WriteOutcome>()
        private val isClaimed = AtomicBoolean(false)

        @Volatile
        var sentAtMillis = 0L
            private set

        fun start(nowMillis: Long): Boolean {
            sentAtMillis = nowMillis
            return isClaimed.compareAndSet(false, true)
        }

        fun cancel() {
            if (isClaimed.compareAndSet(false, true)) outcome.complete(WriteOutcome.NotWritten)
        }
    }

    private fun MpscArrayQueue<PendingRecord>.forEachRecord(action: (PendingRecord) -> Unit) {
        iterator().forEach(action)
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        const val MAX_BATCH_RECORDS = 64
        const val IDLE_PARK_NANOS = 100_000_000L
        const val DRAIN_POLL_NANOS = 10_000_000L
        const val RETRY_DELAY_NANOS = 100_000_000L
        val log = LoggerFactory.getLogger(RecordWriter::class.java)
    }
}
