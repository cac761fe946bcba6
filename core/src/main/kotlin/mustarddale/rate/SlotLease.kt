/*
 * The rate slots (equal shares of all rate limits, see SlotTable) that this instance may use, with
 * their lease expiry times. The holder starts a lease when it sends the claim or renewal record, on
 * its own monotonic clock, and ends it early by a margin for clock drift. Other instances start it
 * when they read that record and end it late by the same margin, so the holder always stops before
 * others take over.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The slots held by this instance and when each lease expires on its monotonic clock. */
public data class SlotLease(private val untilMillis: PersistentMap<Int, Long> = persistentMapOf()) {
    /** Returns the slots whose lease has not expired at [nowMillis]. */
    public fun usableSlots(nowMillis: Long): Set<Int> =
        untilMillis.filterValues { nowMillis < it }.keys

    /** Returns the earliest expiry of the slots usable at [nowMillis], Long.MIN_VALUE if none. */
    public fun validUntilMillis(nowMillis: Long): Long =
        untilMillis.values.filter { nowMillis < it }.minOrNull() ?: Long.MIN_VALUE

    /** All slots held, including those whose lease has expired. */
    public val slots: Set<Int> get() = untilMillis.keys

    /** Replaces all slots by [slots], with a lease of [leaseMillis] from [sentAtMillis]. */
    public fun replaceSlots(slots: Set<Int>, sentAtMillis: Long, leaseMillis: Long): SlotLease {
        val expiryMillis = sentAtMillis + usableLeaseMillis(leaseMillis)
        return SlotLease(slots.fold(persistentMapOf()) { map, slot -> map.put(slot, expiryMillis) })
    }

    /** Adds [slots] with a lease of [leaseMillis] from [sentAtMillis]. */
    public fun addSlots(slots: Set<Int>, sentAtMillis: Long, leaseMillis: Long): SlotLease {
        val expiryMillis = sentAtMillis + usableLeaseMillis(leaseMillis)
        return SlotLease(slots.fold(untilMillis) { map, slot -> map.put(slot, expiryMillis) })
    }

    /** Removes [slots], so that they are no longer used. */
    public fun removeSlots(slots: Set<Int>): SlotLease =
        SlotLease(slots.fold(untilMillis) { map, slot -> map.remove(slot) })

    public companion object {
        /** Monotonic clocks of two hosts drift apart by at most one part in this number. */
        private const val MAX_DRIFT_DIVISOR = 1_000L

        /** Returns how long after sending a renewal the holder of the lease may use its slots. */
        public fun usableLeaseMillis(leaseMillis: Long): Long =
            leaseMillis - leaseMillis / MAX_DRIFT_DIVISOR

        /** Returns how long after reading the last renewal other instances may claim a slot. */
        public fun takeoverDelayMillis(leaseMillis: Long): Long =
            leaseMillis + leaseMillis / MAX_DRIFT_DIVISOR
    }
}
