/*
 * Writes this instance's records into the log. An append whose answer was lost is repeated under
 * the same sequence numbers, which readers drop if they saw them; the outcome of a record is always
 * learned by reading the log, never by guessing.
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

/** What became of a record. */
public sealed interface WriteOutcome {
    /** It stands in the log at [offset], and was folded. */
    public data class Written(
        public val status: RecordStatus,
        public val offset: Long,
        public val sentAtMillis: Long
    ) : WriteOutcome

    /** It has not taken effect and never will. */
    public data object NotWritten : WriteOutcome

    /** It may land in the log later. */
    public data object Unresolved : WriteOutcome
}

/** Appends records as [writer] through [client]. */
public class RecordWriter(
    public val writer: WriterId,
    private val client: LogClient,
    private val clock: Clock,
    store: ControlStore
) : AutoCloseable {
    private val ring = MpscArrayQueue<Pending>(RING_CAPACITY)
    private val waiting = ConcurrentHashMap<Long, Pending>()
    private val isOpen = AtomicBoolean(true)
    private var lastSequence = 0L
    private val worker = thread(name = "log-append", isDaemon = true) { run() }

    init {
        store.addFoldListener(::resolve)
        store.addStateListener(::giveUpOnJumped)
    }

    /** Appends [record] and tells its outcome, at the latest after [timeoutMillis]. */
    public fun append(record: ControlRecord, timeoutMillis: Long): CompletableFuture<WriteOutcome> =
        append(record, timeoutMillis) {}

    /**
     * Appends [record] and tells its outcome, at the latest after [timeoutMillis].
     *
     * @param whenLate is called if the record is accepted after its outcome was given as unknown.
     */
    public fun append(
        record: ControlRecord,
        timeoutMillis: Long,
        whenLate: () -> Unit
    ): CompletableFuture<WriteOutcome> {
        val deadlineMillis = clock.monotonicMillis() + timeoutMillis
        val pending = Pending(record, deadlineMillis, whenLate)
        if (!isOpen.get() || !ring.offer(pending)) {
            return CompletableFuture.completedFuture(WriteOutcome.NotWritten)
        }
        LockSupport.unpark(worker)
        return pending.outcome
    }

    /** Gives up on records whose time has passed; called by the instance's ticker. */
    public fun expire() {
        val now = clock.monotonicMillis()
        waiting.values.filter { now >= it.deadlineMillis }.forEach {
            it.outcome.complete(WriteOutcome.Unresolved)
        }
        ring.forEachPending { if (now >= it.deadlineMillis) it.cancel() }
    }

    /** Waits until all records are resolved, at the most [timeoutMillis]. */
    public fun drain(timeoutMillis: Long) {
        val endMillis = clock.monotonicMillis() + timeoutMillis
        while (isBusy() && clock.monotonicMillis() < endMillis) {
            LockSupport.parkNanos(this, DRAIN_POLL_NANOS)
        }
    }

    private fun isBusy(): Boolean = !ring.isEmpty || waiting.isNotEmpty()

    override fun close() {
        isOpen.set(false)
        worker.interrupt()
    }

    private fun run() {
        while (isOpen.get()) {
            val batch = nextBatch()
            if (batch.isEmpty()) {
                LockSupport.parkNanos(this, IDLE_NANOS)
            } else {
                appendBatch(batch)
            }
        }
    }

    private fun nextBatch(): List<Pending> = buildList {
        while (size < MAX_BATCH) {
            val pending = ring.poll() ?: break
            if (pending.start(clock.monotonicMillis())) add(pending)
        }
    }

    private fun appendBatch(batch: List<Pending>) {
        val envelopes = batch.map { pending ->
            lastSequence += 1
            waiting[lastSequence] = pending
            ControlState.encode(Envelope(writer, lastSequence, pending.record))
        }
        val lastDeadlineMillis = batch.maxOf { it.deadlineMillis }
        while (isOpen.get()) {
            val result = client.append(envelopes)
            if (result is AppendResult.Appended) return
            log.warn("append failed: {}", result)
            if (clock.monotonicMillis() >= lastDeadlineMillis) return
            LockSupport.parkNanos(this, RETRY_NANOS)
        }
    }

    private fun resolve(record: LogRecord, folded: FoldResult) {
        val envelope = folded.envelope ?: return
        if (envelope.writer != writer || folded.status == RecordStatus.Duplicate) return
        dropOvertaken(envelope.sequence)
        val pending = waiting.remove(envelope.sequence) ?: return
        val written = WriteOutcome.Written(folded.status, record.offset, pending.sentAtMillis)
        val isInTime = pending.outcome.complete(written)
        if (!isInTime && folded.status == RecordStatus.Accepted) pending.whenLate()
    }

    /** A state that came whole hides what became of the records in it. */
    private fun giveUpOnJumped(state: ControlState) {
        val lastSequence = state.writers[writer]?.lastSequence ?: return
        waiting.keys.filter { it <= lastSequence }.forEach { hidden ->
            waiting.remove(hidden)?.let {
                it.outcome.complete(WriteOutcome.Unresolved)
                it.whenLate()
            }
        }
    }

    /** Readers drop a record that comes behind a later one, so its outcome is known. */
    private fun dropOvertaken(sequence: Long) {
        waiting.keys.filter { it < sequence }.forEach { overtaken ->
            waiting.remove(overtaken)?.outcome?.complete(WriteOutcome.NotWritten)
        }
    }

    private class Pending(
        val record: ControlRecord,
        val deadlineMillis: Long,
        val whenLate: () -> Unit
    ) {
        val outcome = CompletableFuture<WriteOutcome>()
        private val isTaken = AtomicBoolean(false)

        @Volatile
        var sentAtMillis = 0L
            private set

        fun start(nowMillis: Long): Boolean {
            sentAtMillis = nowMillis
            return isTaken.compareAndSet(false, true)
        }

        fun cancel() {
            if (isTaken.compareAndSet(false, true)) outcome.complete(WriteOutcome.NotWritten)
        }
    }

    private fun MpscArrayQueue<Pending>.forEachPending(action: (Pending) -> Unit) {
        iterator().forEach(action)
    }

    private companion object {
        const val RING_CAPACITY = 4_096
        const val MAX_BATCH = 64
        const val IDLE_NANOS = 100_000_000L
        const val DRAIN_POLL_NANOS = 10_000_000L
        const val RETRY_NANOS = 100_000_000L
        val log = LoggerFactory.getLogger(RecordWriter::class.java)
    }
}
