package mustarddale.memory

import mustarddale.control.ControlRecord.ResidencyObserved

/** An order on its way to an engine. */
data class OrderMessage(val kind: OrderKind, val artifact: String, val bytes: Long, val fence: Long)

/** The memory of an engine, with every rule that a real one may break. */
class FakeEngine(val name: String, private val checksFencing: Boolean) {
    private val held = mutableMapOf<String, Long>()
    private var lastOrder = 0L
    private var bootNumber = 1L
    private var reportSequence = 0L

    val heldBytes: Long get() = held.values.sum()

    /** Takes [message] and tells its last report; null if it refuses its fencing number. */
    fun take(message: OrderMessage): ReportNumber? {
        if (checksFencing && message.fence <= lastOrder) return null
        lastOrder = message.fence
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
        if (!checksFencing) lastOrder = 0
    }

    fun report(): ResidencyObserved = ResidencyObserved(
        server = name,
        number = ReportNumber(bootNumber, ++reportSequence),
        appliedFence = lastOrder,
        held = held.map { HeldArtifact(it.key, it.value) }
    )
}
