package mustarddale.memory

import java.util.random.RandomGenerator
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.control.ControlState
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.control.RecordStatus

/** Simulates two engines whose orders, answers and reports are delayed, reordered or lost. */
class LedgerSimulation(private val random: RandomGenerator) {
    private val log = FakeLog()
    private val engines = listOf(FakeEngine("e1", true), FakeEngine("e2", false))
    private val orders = mutableListOf<Pair<FakeEngine, OrderMessage>>()
    private val answers = mutableListOf<ControlRecord>()
    private val reports = mutableListOf<ResidencyObserved>()
    private var state: ControlState = ControlState.EMPTY
    var appliedOrders = 0
        private set

    init {
        append(Fixtures.replaceProposed())
    }

    fun step() {
        log.nowMillis += random.nextLong(4_000)
        val engine = engines[random.nextInt(engines.size)]
        when (random.nextInt(12)) {
            0, 1, 2 -> propose(engine, OrderKind.LOAD)
            3, 4 -> propose(engine, OrderKind.UNLOAD)
            5, 6 -> reports.add(engine.report())
            7, 8 -> if (reports.isNotEmpty()) append(reports.removeAt(randomIndex(reports)))
            9, 10 -> deliverOrder()
            else -> injectFault(engine)
        }
        check(engine.heldBytes <= Fixtures.ENGINE_BYTES) {
            "${engine.name} holds ${engine.heldBytes} bytes, more than it has"
        }
    }

    private fun injectFault(engine: FakeEngine) {
        when (random.nextInt(4)) {
            0 -> engine.restart()
            1 -> if (orders.isNotEmpty()) orders.removeAt(randomIndex(orders))
            2 -> if (answers.isNotEmpty()) answers.removeAt(randomIndex(answers))
            else -> if (answers.isNotEmpty()) append(answers.removeAt(randomIndex(answers)))
        }
    }

    private fun propose(engine: FakeEngine, kind: OrderKind) {
        val artifact = "m${1 + random.nextInt(3)}"
        val offset = log.records.size.toLong()
        val status = append(OrderProposed(engine.name, kind, artifact))
        if (status == RecordStatus.Accepted) {
            orders.add(engine to OrderMessage(kind, artifact, 40, offset))
        }
    }

    private fun deliverOrder() {
        if (orders.isEmpty()) return
        val (engine, message) = orders.removeAt(randomIndex(orders))
        val takenAfter = engine.applyOrder(message)
        if (takenAfter != null) appliedOrders++
        answers.add(OrderAnswered(engine.name, message.artifact, message.fencingToken, takenAfter))
        if (random.nextBoolean()) append(answers.removeAt(randomIndex(answers)))
    }

    private fun append(record: ControlRecord): RecordStatus {
        val writer = if (random.nextBoolean()) Fixtures.firstWriter else Fixtures.secondWriter
        val folded = state.fold(log.append(writer, record))
        state = folded.state
        return folded.status
    }

    private fun randomIndex(list: List<*>): Int = random.nextInt(list.size)
}
