/*
 * The agreed state as this instance knows it. One duty folds records, whether they came from the
 * log or from a peer; everybody else reads the newest state without waiting.
 */
package mustarddale.instance.log

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import mustarddale.control.ControlState
import mustarddale.control.FoldResult
import mustarddale.control.LogRecord
import mustarddale.instance.duty.Duty

/** Hears of each record that was folded, on the thread of the control duty. */
public fun interface FoldListener {
    /** Takes in [record], which gave [result]. */
    public fun onFolded(record: LogRecord, result: FoldResult)
}

/** Holds the agreed state and folds records into it. */
public class ControlStore : AutoCloseable {
    private val current = AtomicReference(ControlState.EMPTY)
    private val foldListeners = CopyOnWriteArrayList<FoldListener>()
    private val stateListeners = CopyOnWriteArrayList<(ControlState) -> Unit>()
    private val recent = ArrayDeque<LogRecord>()
    private val duty = Duty("control", handle = ::handle)

    /** The newest state. */
    public val state: ControlState get() = current.get()

    /** Folds [records] soon; those that were folded before are passed over. */
    public fun offer(records: List<LogRecord>): Boolean = duty.offer(Event.Records(records))

    /** Puts [state] in the place of an older one. */
    public fun offer(state: ControlState): Boolean = duty.offer(Event.Jump(state))

    /** Calls [listener] for each record that is folded from now on. */
    public fun addFoldListener(listener: FoldListener) {
        foldListeners.add(listener)
    }

    /** Calls [listener] with each new state. */
    public fun addStateListener(listener: (ControlState) -> Unit) {
        stateListeners.add(listener)
    }

    /** Records from [fromOffset] on, empty if they are no longer kept here. */
    public fun recentRecords(fromOffset: Long): List<LogRecord> = synchronized(recent) {
        val first = recent.firstOrNull()?.offset ?: return emptyList()
        if (fromOffset < first) return emptyList()
        recent.drop((fromOffset - first).toInt()).take(MAX_RELAYED)
    }

    override fun close() {
        duty.close()
    }

    private fun handle(event: Event) {
        when (event) {
            is Event.Records -> fold(event.records)
            is Event.Jump -> jump(event.state)
        }
    }

    private fun fold(records: List<LogRecord>) {
        val fresh = records.filter { it.offset >= state.nextOffset }
        if (fresh.isEmpty() || fresh.first().offset != state.nextOffset) return
        fresh.forEach { record ->
            val folded = state.fold(record)
            current.set(folded.state)
            keep(record)
            foldListeners.forEach { it.onFolded(record, folded) }
        }
        stateListeners.forEach { it(state) }
    }

    private fun jump(next: ControlState) {
        if (next.nextOffset <= state.nextOffset) return
        current.set(next)
        synchronized(recent) { recent.clear() }
        stateListeners.forEach { it(next) }
    }

    private fun keep(record: LogRecord) = synchronized(recent) {
        recent.addLast(record)
        if (recent.size > MAX_KEPT) recent.removeFirst()
    }

    private sealed interface Event {
        data class Records(val records: List<LogRecord>) : Event
        data class Jump(val state: ControlState) : Event
    }

    private companion object {
        const val MAX_KEPT = 4_096
        const val MAX_RELAYED = 256
    }
}
