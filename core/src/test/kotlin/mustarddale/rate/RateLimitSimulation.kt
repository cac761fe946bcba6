package mustarddale.rate

import java.util.random.RandomGenerator
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.control.ControlRecord.SlotsReleased
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.control.RecordStatus
import mustarddale.control.WriterId

/** The slot leases and rate limiter of one simulated instance. */
class RateNode(val writer: WriterId, startMillis: Long) {
    var state = ControlState.EMPTY
    var planner = SlotLeasePlanner(writer)
    var limiter = RateLimiter()
    var sequence = 0L
    var pending: PendingRecord? = null
    var isFrozen = false
    var isPartitioned = false
    private var nowMillis = startMillis

    fun read(log: FakeLog, now: Long) {
        nowMillis = now
        log.records.drop(state.nextOffset.toInt()).forEach { record ->
            val folded = state.fold(record)
            state = folded.state
            val own = pending?.takeIf { folded.envelope == it.envelope }
            if (own != null && folded.status == RecordStatus.Accepted) accept(own, record.offset)
            if (own != null) pending = null
        }
    }

    fun applyLease(newSlots: Set<Int>) {
        limiter = limiter.applyLease(
            planner.lease,
            state.index.configuration.limits.rateSlots,
            state.index.configuration.clientAccounts,
            newSlots,
            nowMillis
        )
    }

    /** Performs one periodic slot check and returns the record to append, null if none. */
    fun tick(now: Long, liveInstances: Int): Envelope? {
        nowMillis = now
        planner = planner.observeRenewals(state.slots, now)
        applyLease(emptySet())
        if (pending?.let { now - it.sentAtMillis < APPEND_TIMEOUT_MILLIS } == true) return null
        val limits = state.index.configuration.limits
        val input = SlotPlanInput(state.slots, limits, liveInstances, now)
        return when (val action = planner.nextAction(input)) {
            is SlotAction.Claim -> send(SlotsClaimed(action.claims), now)

            is SlotAction.Renew -> send(SlotsRenewed, now)

            is SlotAction.Release -> {
                planner = planner.afterRelease(action.slots)
                applyLease(emptySet())
                send(SlotsReleased(action.slots.toList()), now)
            }

            null -> null
        }
    }

    private fun send(record: ControlRecord, now: Long): Envelope {
        val envelope = Envelope(writer, ++sequence, record)
        pending = PendingRecord(envelope, now)
        return envelope
    }

    private companion object {
        const val APPEND_TIMEOUT_MILLIS = 2_000L
    }

    private fun accept(record: PendingRecord, offset: Long) {
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        when (val content = record.envelope.record) {
            is SlotsClaimed -> {
                val claim = SlotAction.Claim(content.claims)
                val result =
                    planner.afterClaim(claim, state.slots, offset, record.sentAtMillis, leaseMillis)
                planner = result.planner
                applyLease(result.newSlots)
            }

            is SlotsRenewed -> {
                planner = planner.afterRenewal(state.slots, record.sentAtMillis, leaseMillis)
                applyLease(emptySet())
            }

            else -> Unit
        }
    }
}

/** A record whose outcome a node has not read yet. */
data class PendingRecord(val envelope: Envelope, val sentAtMillis: Long)

/**
 * Simulates instances that share rate slots through a log that delays or loses records or is down,
 * while the instances freeze, crash or lose their connection to the log.
 */
class RateLimitSimulation(private val random: RandomGenerator, private val leaseMillis: Long) {
    private val log = FakeLog()

    /** Records that were appended but have not reached the log yet. */
    private val late = mutableListOf<Envelope>()
    private val nodes = mutableListOf<RateNode>()
    private var nextNumber = 0
    private val account = Fixtures.configuration.clientAccounts.single()
    private var allowed = TokenBucket(
        capacityTokens = account.burstTokens.toDouble(),
        tokensPerMilli = account.tokensPerSecond / 1_000.0,
        level = account.burstTokens.toDouble(),
        atMillis = 0
    )
    private var isLogDown = false
    private var nowMillis = 0L
    var takenTokens = 0.0
        private set

    init {
        val limits = Fixtures.configuration.limits.copy(slotLeaseMillis = leaseMillis)
        val configuration = Fixtures.configuration.copy(limits = limits)
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed(configuration))
        repeat(3) { startNode() }
    }

    /** Performs one random event. */
    fun step() {
        when (random.nextInt(300)) {
            0 -> if (nodes.size < 6) startNode()
            1 -> if (nodes.size > 1) nodes.removeAt(random.nextInt(nodes.size))
            2 -> isLogDown = true
            3, 4, 5 -> isLogDown = false
            6 -> randomNode()?.isFrozen = true
            7, 8, 9 -> randomNode()?.isFrozen = false
            10 -> randomNode()?.isPartitioned = true
            11, 12, 13 -> randomNode()?.isPartitioned = false
            14, 15 -> if (late.isNotEmpty()) log.append(late.removeAt(random.nextInt(late.size)))
            16 -> advance(random.nextLong(2 * leaseMillis))
            in 17..60 -> transferTokens()
            in 61..150 -> randomNode()?.let(::take)
            else -> tickAll()
        }
    }

    private fun tickAll() {
        advance(random.nextLong(300))
        nodes.filterNot { it.isFrozen }.forEach { node ->
            if (!isLogDown && !node.isPartitioned) node.read(log, nowMillis)
            node.tick(nowMillis, nodes.size)?.let(::append)
        }
    }

    private fun append(envelope: Envelope) {
        when {
            isLogDown -> if (random.nextBoolean()) late.add(envelope)
            random.nextInt(8) == 0 -> late.add(envelope)
            else -> log.append(envelope)
        }
    }

    /** Mostly takes all available tokens; a frozen node may take some between any two steps. */
    private fun take(node: RateNode) {
        val available = node.limiter.availableTokens(account.name, nowMillis)
        val tokens = if (random.nextInt(3) == 0) random.nextDouble(700.0) else available
        val result = node.limiter.take(account.name, tokens, nowMillis)
        if (result is TakeResult.Taken) {
            node.limiter = result.limiter
            recordTaken(tokens)
        }
    }

    private fun transferTokens() {
        val sender = randomNode() ?: return
        val target = randomNode() ?: return
        val sent = sender.limiter.withdrawUpTo(account.name, random.nextDouble(500.0), nowMillis)
        sender.limiter = sent.limiter
        val isLost = random.nextInt(4) == 0
        advance(random.nextLong(RateLimiter.MAX_TRANSFER_MILLIS))
        if (!isLost) target.limiter = target.limiter.deposit(account.name, sent.tokens, nowMillis)
    }

    private fun recordTaken(tokens: Double) {
        allowed = allowed.refill(nowMillis)
        check(allowed.level - tokens >= -ROUNDING_TOKENS) {
            "$takenTokens tokens taken until $nowMillis ms, then $tokens, exceeding by " +
                "${tokens - allowed.level}"
        }
        allowed = allowed.copy(level = allowed.level - tokens)
        takenTokens += tokens
    }

    private fun startNode() {
        nodes.add(RateNode(WriterId("instance-$nextNumber", "run-${nextNumber++}"), nowMillis))
    }

    private fun randomNode(): RateNode? = nodes.randomOrNull()

    private fun List<RateNode>.randomOrNull(): RateNode? =
        if (isEmpty()) null else this[random.nextInt(size)]

    private fun advance(millis: Long) {
        nowMillis += millis
        log.nowMillis = nowMillis
    }

    private companion object {
        const val ROUNDING_TOKENS = 0.001
    }
}
