package mustarddale.memory

import mustarddale.control.ControlRecord.ResidencyObserved

/** An order sent to an engine and not yet delivered. */
data class OrderMessage(val kind: OrderKind, val artifact: String, val bytes: Long, val fence: Long)

/** Simulates the memory of an engine that obeys orders, with or without fencing. */
class FakeEngine(val name: String, private val checksFencing: Boolean) {
    private val held = mutableMapOf<String, Long>()
    private var lastFence = 0L
    private var bootNumber = 1L
    private var reportSequence = 0L

    val heldBytes: Long get() = held.values.sum()

    /** Applies [message] and returns the number of its last report; null if fenced off. */
    fun applyOrder(message: OrderMessage): ReportNumber? {
        if (checksFencing && message.fence <= lastFence) return null
        lastFence = message.fence
        when (message.kind) {
            OrderKind.LOAD -> held[message.artifact] = message.bytes
            OrderKind.UNLOAD -> held.remove(message.artifact)
        }
        return ReportNumber(bootNumber, reportSequence)
    }

    fun restart() {
        held.clear()
        bootNumber++
        reportSequence = 0
        if (!checksFencing) lastFence = 0
    }

    fun report(): ResidencyObserved = ResidencyObserved(
        server = name,
        number = ReportNumber(bootNumber, ++reportSequence),
        appliedFence = lastFence,
        held = held.map { HeldArtifact(it.key, it.value) }
    )
}
