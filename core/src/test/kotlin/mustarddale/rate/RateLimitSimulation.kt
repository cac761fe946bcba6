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
class RateInstance(val writer: WriterId, startMillis: Long) {
    var state = ControlState.EMPTY
    var planner = SlotLeasePlanner(writer)
    var limiter = RateLimiter()
    var sequence = 0L
    var pending: PendingRecord? = null
    var isFrozen = false
    var isPartitioned = false
    private var nowMillis = startMillis

    fun read(log: FakeLog, atMillis: Long) {
        nowMillis = atMillis
        log.records.drop(state.nextOffset.toInt()).forEach { record ->
            val folded = state.fold(record)
            state = folded.state
            val sent = pending?.takeIf { folded.envelope == it.envelope }
            if (sent != null && folded.status == RecordStatus.Accepted) accept(sent, record.offset)
            if (sent != null) pending = null
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
    fun tick(atMillis: Long, liveInstances: Int): Envelope? {
        nowMillis = atMillis
        planner = planner.observeRenewals(state.slots, atMillis)
        applyLease(emptySet())
        if (pending?.let { atMillis - it.sentAtMillis < APPEND_TIMEOUT_MILLIS } == true) return null
        val limits = state.index.configuration.limits
        val input = SlotPlanInput(state.slots, limits, liveInstances, atMillis)
        return when (val action = planner.nextAction(input)) {
            is SlotAction.Claim -> send(SlotsClaimed(action.claims), atMillis)

            is SlotAction.Renew -> send(SlotsRenewed, atMillis)

            is SlotAction.Release -> {
                planner = planner.afterRelease(action.slots)
                applyLease(emptySet())
                send(SlotsReleased(action.slots.toList()), atMillis)
            }

            null -> null
        }
    }

    private fun send(record: ControlRecord, atMillis: Long): Envelope {
        val envelope = Envelope(writer, ++sequence, record)
        pending = PendingRecord(envelope, atMillis)
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
    private val instances = mutableListOf<RateInstance>()
    private var nextNumber = 0
    private val account = Fixtures.configuration.clientAccounts.single()

    /** Contains the tokens that all instances together may still take at [nowMillis]. */
    private var referenceBucket = TokenBucket(
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
        repeat(3) { startInstance() }
    }

    /** Performs one random event. */
    fun step() {
        when (random.nextInt(300)) {
            0 -> if (instances.size < 6) startInstance()
            1 -> if (instances.size > 1) instances.removeAt(random.nextInt(instances.size))
            2 -> isLogDown = true
            3, 4, 5 -> isLogDown = false
            6 -> randomInstance()?.isFrozen = true
            7, 8, 9 -> randomInstance()?.isFrozen = false
            10 -> randomInstance()?.isPartitioned = true
            11, 12, 13 -> randomInstance()?.isPartitioned = false
            14, 15 -> if (late.isNotEmpty()) log.append(late.removeAt(random.nextInt(late.size)))
            16 -> advance(random.nextLong(2 * leaseMillis))
            in 17..60 -> transferTokens()
            in 61..150 -> randomInstance()?.let(::take)
            else -> tickAll()
        }
    }

    private fun tickAll() {
        advance(random.nextLong(300))
        instances.filterNot { it.isFrozen }.forEach { instance ->
            if (!isLogDown && !instance.isPartitioned) instance.read(log, nowMillis)
            instance.tick(nowMillis, instances.size)?.let(::append)
        }
    }

    private fun append(envelope: Envelope) {
        when {
            isLogDown -> if (random.nextBoolean()) late.add(envelope)
            random.nextInt(8) == 0 -> late.add(envelope)
            else -> log.append(envelope)
        }
    }

    /** Takes mostly all available tokens, also if frozen: it may resume between any two steps. */
    private fun take(instance: RateInstance) {
        val available = instance.limiter.availableTokens(account.name, nowMillis)
        val tokens = if (random.nextInt(3) == 0) random.nextDouble(700.0) else available
        val result = instance.limiter.take(account.name, tokens, nowMillis)
        if (result is TakeResult.Taken) {
            instance.limiter = result.limiter
            recordTaken(tokens)
        }
    }

    private fun transferTokens() {
        val sender = randomInstance() ?: return
        val target = randomInstance() ?: return
        val sent = sender.limiter.withdrawUpTo(account.name, random.nextDouble(500.0), nowMillis)
        sender.limiter = sent.limiter
        val isLost = random.nextInt(4) == 0
        advance(random.nextLong(RateLimiter.MAX_TRANSFER_MILLIS))
        if (!isLost) target.limiter = target.limiter.deposit(account.name, sent.tokens, nowMillis)
    }

    private fun recordTaken(tokens: Double) {
        referenceBucket = referenceBucket.refill(nowMillis)
        check(referenceBucket.level - tokens >= -ROUNDING_TOKENS) {
            "$takenTokens tokens taken until $nowMillis ms, then $tokens, exceeding by " +
                "${tokens - referenceBucket.level}"
        }
        referenceBucket = referenceBucket.copy(level = referenceBucket.level - tokens)
        takenTokens += tokens
    }

    private fun startInstance() {
        instances.add(
            RateInstance(WriterId("instance-$nextNumber", "run-${nextNumber++}"), nowMillis)
        )
    }

    private fun randomInstance(): RateInstance? = instances.randomOrNull()

    private fun List<RateInstance>.randomOrNull(): RateInstance? =
        if (isEmpty()) null else this[random.nextInt(size)]

    private fun advance(millis: Long) {
        nowMillis += millis
        log.nowMillis = nowMillis
    }

    private companion object {
        const val ROUNDING_TOKENS = 0.001
    }
}
