/*
 * Finds out which processes have ended without a word. A process listens for other instances as
 * long as it runs, so a machine that refuses connections there no longer runs it. One that is
 * frozen or cut off refuses nothing. Only processes that are silent are asked, a few at a time.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mustarddale.instance.http.ProbeResult
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/**
 * Asks machines for their processes in [scope]; confined to the event loop.
 *
 * @param probe tries to connect to an address.
 * @param onEnded called with an instance whose process had ended at a time by [clock].
 */
internal class EndedProcessDetector(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val probe: suspend (InstanceAddress) -> ProbeResult,
    private val onEnded: (instance: String, atMillis: Long) -> Unit
) {
    private val interval = MinInterval(INTERVAL_MILLIS)
    private val pending = HashSet<String>()
    private val refusals = HashMap<String, Int>()
    private val runningUntilMillis = HashMap<String, Long>()

    /** Asks about some of the [silent] instances, if that is due. */
    fun check(silent: Map<String, InstanceAddress>) {
        refusals.keys.retainAll(silent.keys)
        runningUntilMillis.keys.retainAll(silent.keys)
        val nowMillis = clock.monotonicMillis()
        if (silent.isEmpty() || interval.waitMillis(nowMillis) > 0) return
        interval.recordRun(nowMillis)
        silent.filterKeys { it !in pending && (runningUntilMillis[it] ?: nowMillis) <= nowMillis }
            .entries
            .sortedByDescending { refusals[it.key] ?: 0 }
            .take(MAX_PENDING - pending.size)
            .forEach { (instance, address) -> ask(instance, address) }
    }

    private fun ask(instance: String, address: InstanceAddress) {
        pending += instance
        scope.launch {
            val sentMillis = clock.monotonicMillis()
            val result = probe(address)
            pending -= instance
            recordResult(instance, result, sentMillis)
        }
    }

    private fun recordResult(instance: String, result: ProbeResult, sentMillis: Long) {
        if (result == ProbeResult.ACCEPTED) {
            runningUntilMillis[instance] = sentMillis + RUNNING_MILLIS
        }
        if (result != ProbeResult.REFUSED) {
            refusals.remove(instance)
            return
        }
        val count = refusals.merge(instance, 1, Int::plus) ?: 1
        if (count >= REQUIRED_REFUSALS) onEnded(instance, sentMillis)
    }

    private companion object {
        const val INTERVAL_MILLIS = 100L

        /** A connection may also be reset on its way. */
        const val REQUIRED_REFUSALS = 2

        /** A frozen process has to take all connections that it was asked by once it wakes. */
        const val RUNNING_MILLIS = 1_000L

        /** Bounds what a leader spends when all others have ended. */
        const val MAX_PENDING = 24
    }
}
