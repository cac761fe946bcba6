package mustarddale.memory

import mustarddale.control.ControlRecord.ResidencyObserved

/** An order sent to an engine and not yet delivered. */
data class OrderMessage(
    val kind: OrderKind,
    val artifact: String,
    val memoryBytes: Long,
    val fencingToken: Long
)

/** Simulates the memory of an engine, with or without a check of the orders' fencing tokens. */
class FakeEngine(val name: String, private val checksFencing: Boolean) {
    private val held = mutableMapOf<String, Long>()
    private var lastFencingToken = 0L
    private var bootNumber = 1L
    private var reportSequence = 0L

    val heldBytes: Long get() = held.values.sum()

    /** Applies [message]; returns the number of the last report, null if the token is outdated. */
    fun applyOrder(message: OrderMessage): ReportNumber? {
        if (checksFencing && message.fencingToken <= lastFencingToken) return null
        lastFencingToken = message.fencingToken
        when (message.kind) {
            OrderKind.LOAD -> held[message.artifact] = message.memoryBytes
            OrderKind.UNLOAD -> held.remove(message.artifact)
        }
        return ReportNumber(bootNumber, reportSequence)
    }

    fun restart() {
        held.clear()
        bootNumber++
        reportSequence = 0
        if (!checksFencing) lastFencingToken = 0
    }

    fun report(): ResidencyObserved = ResidencyObserved(
        server = name,
        number = ReportNumber(bootNumber, ++reportSequence),
        appliedFence = lastFencingToken,
        held = held.map { HeldArtifact(it.key, it.value) }
    )
}
