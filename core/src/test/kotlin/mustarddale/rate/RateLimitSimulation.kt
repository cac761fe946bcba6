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

/** One instance of the fleet, as far as rates go. */
class RateNode(val writer: WriterId, startMillis: Long) {
    var state = ControlState.EMPTY
    var keeper = SlotLeasePlanner(writer)
    var limiter = RateLimiter()
    var sequence = 0L
    var pending: PendingRecord? = null
    var isFrozen = false
    var isCutOff = false
    private var nowMillis = startMillis

    fun read(log: FakeLog, now: Long) {
        nowMillis = now
        log.records.drop(state.nextOffset.toInt()).forEach { record ->
            val folded = state.fold(record)
            state = folded.state
            val mine = pending?.takeIf { folded.envelope == it.envelope }
            if (mine != null && folded.status == RecordStatus.Accepted) took(mine, record.offset)
            if (mine != null) pending = null
        }
    }

    fun use(newSlots: Set<Int>) {
        limiter = limiter.applyLease(
            keeper.lease,
            state.index.configuration.limits.rateSlots,
            state.index.configuration.clientAccounts,
            newSlots,
            nowMillis
        )
    }

    /** What the slot duty does in a tick; returns what it appends. */
    fun tick(now: Long, live: Int): Envelope? {
        nowMillis = now
        keeper = keeper.observeRenewals(state.slots, now)
        use(emptySet())
        if (pending?.let { now - it.sentAtMillis < GIVE_UP_MILLIS } == true) return null
        val limits = state.index.configuration.limits
        val situation = SlotPlanInput(state.slots, limits, live, now)
        return when (val action = keeper.nextAction(situation)) {
            is SlotAction.Claim -> send(SlotsClaimed(action.claims), now)

            is SlotAction.Renew -> send(SlotsRenewed, now)

            is SlotAction.Release -> {
                keeper = keeper.afterRelease(action.slots)
                use(emptySet())
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
        const val GIVE_UP_MILLIS = 2_000L
    }

    private fun took(record: PendingRecord, offset: Long) {
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        when (val content = record.envelope.record) {
            is SlotsClaimed -> {
                val claim = SlotAction.Claim(content.claims)
                val result =
                    keeper.afterClaim(claim, state.slots, offset, record.sentAtMillis, leaseMillis)
                keeper = result.planner
                use(result.newSlots)
            }

            is SlotsRenewed -> {
                keeper = keeper.afterRenewal(state.slots, record.sentAtMillis, leaseMillis)
                use(emptySet())
            }

            else -> Unit
        }
    }
}

/** A record that a node waits for. */
data class PendingRecord(val envelope: Envelope, val sentAtMillis: Long)

/** A fleet whose log answers late, loses answers, or is down, and whose nodes freeze and die. */
class RateLimitSimulation(private val random: RandomGenerator, private val leaseMillis: Long) {
    private val log = FakeLog()
    private val late = mutableListOf<Envelope>()
    private val nodes = mutableListOf<RateNode>()
    private var nextNode = 0
    private val account = Fixtures.configuration.clientAccounts.single()
    private var allowance = TokenBucket(
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
        repeat(3) { start() }
    }

    /** Does one random thing. */
    fun step() {
        when (random.nextInt(300)) {
            0 -> if (nodes.size < 6) start()
            1 -> if (nodes.size > 1) nodes.removeAt(random.nextInt(nodes.size))
            2 -> isLogDown = true
            3, 4, 5 -> isLogDown = false
            6 -> any()?.isFrozen = true
            7, 8, 9 -> any()?.isFrozen = false
            10 -> any()?.isCutOff = true
            11, 12, 13 -> any()?.isCutOff = false
            14, 15 -> if (late.isNotEmpty()) log.append(late.removeAt(random.nextInt(late.size)))
            16 -> advance(random.nextLong(2 * leaseMillis))
            in 17..60 -> transfer()
            in 61..150 -> any()?.let(::take)
            else -> everybodyTicks()
        }
    }

    private fun everybodyTicks() {
        advance(random.nextLong(300))
        nodes.filterNot { it.isFrozen }.forEach { node ->
            if (!isLogDown && !node.isCutOff) node.read(log, nowMillis)
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

    /** Mostly takes all that there is; a frozen node may do so between any two of its steps. */
    private fun take(node: RateNode) {
        val level = node.limiter.availableTokens(account.name, nowMillis)
        val tokens = if (random.nextInt(3) == 0) random.nextDouble(700.0) else level
        val verdict = node.limiter.take(account.name, tokens, nowMillis)
        if (verdict is TakeResult.Taken) {
            node.limiter = verdict.limiter
            spend(tokens)
        }
    }

    private fun transfer() {
        val giver = any() ?: return
        val taker = any() ?: return
        val given = giver.limiter.withdrawUpTo(account.name, random.nextDouble(500.0), nowMillis)
        giver.limiter = given.limiter
        val isLost = random.nextInt(4) == 0
        advance(random.nextLong(RateLimiter.MAX_TRANSFER_MILLIS))
        if (!isLost) taker.limiter = taker.limiter.deposit(account.name, given.tokens, nowMillis)
    }

    private fun spend(tokens: Double) {
        allowance = allowance.refill(nowMillis)
        check(allowance.level - tokens >= -ROUNDING) {
            "$takenTokens tokens taken by $nowMillis ms, then $tokens: over by " +
                "${tokens - allowance.level}"
        }
        allowance = allowance.copy(level = allowance.level - tokens)
        takenTokens += tokens
    }

    private fun start() {
        nodes.add(RateNode(WriterId("instance-$nextNode", "run-${nextNode++}"), nowMillis))
    }

    private fun any(): RateNode? = nodes.randomOrNull()

    private fun List<RateNode>.randomOrNull(): RateNode? =
        if (isEmpty()) null else this[random.nextInt(size)]

    private fun advance(millis: Long) {
        nowMillis += millis
        log.nowMillis = nowMillis
    }

    private companion object {
        const val ROUNDING = 0.001
    }
}
