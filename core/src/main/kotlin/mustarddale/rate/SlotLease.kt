/*
 * The rate slots that this instance may use. A lease counts from before the record that got or
 * renewed it was sent, on this instance's monotonic clock, and ends early by a drift margin. Others
 * count from when they read that record, so they always end later.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The slots held by this instance, each until a time on its monotonic clock. */
public data class SlotLease(private val untilMillis: PersistentMap<Int, Long> = persistentMapOf()) {
    /** The slots that may be used at [nowMillis]. */
    public fun usableSlots(nowMillis: Long): Set<Int> =
        untilMillis.filterValues { nowMillis < it }.keys

    /** When the first of the slots that are usable at [nowMillis] lapses. */
    public fun validUntilMillis(nowMillis: Long): Long =
        untilMillis.values.filter { nowMillis < it }.minOrNull() ?: Long.MIN_VALUE

    /** All slots held, lapsed ones too. */
    public val slots: Set<Int> get() = untilMillis.keys

    /** Holds exactly [slots], for [leaseMillis] from [sentAtMillis]. */
    public fun replaceSlots(slots: Set<Int>, sentAtMillis: Long, leaseMillis: Long): SlotLease {
        val expiryMillis = sentAtMillis + usableLeaseMillis(leaseMillis)
        return SlotLease(slots.fold(persistentMapOf()) { map, slot -> map.put(slot, expiryMillis) })
    }

    /** Adds [slots], for [leaseMillis] from [sentAtMillis]. */
    public fun addSlots(slots: Set<Int>, sentAtMillis: Long, leaseMillis: Long): SlotLease {
        val expiryMillis = sentAtMillis + usableLeaseMillis(leaseMillis)
        return SlotLease(slots.fold(untilMillis) { map, slot -> map.put(slot, expiryMillis) })
    }

    /** Drops [slots]. */
    public fun removeSlots(slots: Set<Int>): SlotLease =
        SlotLease(slots.fold(untilMillis) { map, slot -> map.remove(slot) })

    public companion object {
        /** Clocks of two machines run apart by at most one part in this. */
        private const val DRIFT_PARTS = 1_000L

        /** How long a holder uses a lease of [leaseMillis]. */
        public fun usableLeaseMillis(leaseMillis: Long): Long =
            leaseMillis - leaseMillis / DRIFT_PARTS

        /** How long others wait from reading the last renewal of a lease of [leaseMillis]. */
        public fun takeoverDelayMillis(leaseMillis: Long): Long =
            leaseMillis + leaseMillis / DRIFT_PARTS
    }
}
