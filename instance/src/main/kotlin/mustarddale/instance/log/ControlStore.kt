/*
 * This instance's copy of the replicated control state. A single thread applies records from the
 * log and from peers; all other threads read the latest state without locking.
 */
package mustarddale.instance.log

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import mustarddale.control.ControlState
import mustarddale.control.FoldResult
import mustarddale.control.LogRecord
import mustarddale.instance.duty.Duty

/** Receives each applied record, on the thread that applies records. */
public fun interface FoldListener {
    /** Handles [record], which was applied with [result]. */
    public fun onFolded(record: LogRecord, result: FoldResult)
}

/** Holds the replicated control state and applies log records to it. */
public class ControlStore : AutoCloseable {
    private val current = AtomicReference(ControlState.EMPTY)
    private val foldListeners = CopyOnWriteArrayList<FoldListener>()
    private val stateListeners = CopyOnWriteArrayList<(ControlState) -> Unit>()
    private val recentRecords = ArrayDeque<LogRecord>()
    private val duty = Duty("control", handle = ::handle)

    /** The state after the latest applied record. */
    public val state: ControlState get() = current.get()

    /** Queues [records] to be applied, skipping any already applied; false if the queue is full. */
    public fun offer(records: List<LogRecord>): Boolean = duty.offer(Event.ApplyRecords(records))

    /** Queues [state] to replace the current state if it is newer; false if the queue is full. */
    public fun offer(state: ControlState): Boolean = duty.offer(Event.ReplaceState(state))

    /** Calls [listener] for each record applied from now on. */
    public fun addFoldListener(listener: FoldListener) {
        foldListeners.add(listener)
    }

    /** Calls [listener] with the state after each batch of records and each replacement. */
    public fun addStateListener(listener: (ControlState) -> Unit) {
        stateListeners.add(listener)
    }

    /** Returns the first cached records from [fromOffset] on; empty if that one is not cached. */
    public fun recentRecords(fromOffset: Long): List<LogRecord> = synchronized(recentRecords) {
        val first = recentRecords.firstOrNull()?.offset ?: return emptyList()
        if (fromOffset < first) return emptyList()
        recentRecords.drop((fromOffset - first).toInt()).take(MAX_RELAYED_RECORDS)
    }

    override fun close() {
        duty.close()
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.ApplyRecords -> applyRecords(event.records)
            is Event.ReplaceState -> replaceState(event.state)
        }
    }

    private fun applyRecords(records: List<LogRecord>) {
        val newRecords = records.filter { it.offset >= state.nextOffset }
        if (newRecords.isEmpty() || newRecords.first().offset != state.nextOffset) return
        newRecords.forEach { record ->
            val folded = state.fold(record)
            current.set(folded.state)
            cache(record)
            foldListeners.forEach { it.onFolded(record, folded) }
        }
        stateListeners.forEach { it(state) }
    }

    private fun replaceState(next: ControlState) {
        if (next.nextOffset <= state.nextOffset) return
        current.set(next)
        synchronized(recentRecords) { recentRecords.clear() }
        stateListeners.forEach { it(next) }
    }

    private fun cache(record: LogRecord) = synchronized(recentRecords) {
        recentRecords.addLast(record)
        if (recentRecords.size > MAX_CACHED_RECORDS) recentRecords.removeFirst()
    }

    private sealed interface Event {
        data class ApplyRecords(val records: List<LogRecord>) : Event
        data class ReplaceState(val state: ControlState) : Event
    }

    private companion object {
        const val MAX_CACHED_RECORDS = 4_096
        const val MAX_RELAYED_RECORDS = 256
    }
}
