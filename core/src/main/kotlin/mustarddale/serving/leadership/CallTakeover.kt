/*
 * What the first record of a leadership says of the calls that earlier leaders may have made to the
 * platform. The record may remain the only one of its leadership, so the next leader relies on it.
 */
package mustarddale.serving.leadership

import mustarddale.serving.usage.UsageRecord
import mustarddale.serving.usage.UsageTimes

/**
 * Returns this record, the first one of a leadership, with what is known from [newest], the newest
 * record before it.
 *
 * @param wallMillis the local wall clock.
 * @param times the time rules of usage reports, null if the leader makes none.
 */
public fun LeaderRecord.withCallsOf(
    newest: LeaderRecord?,
    wallMillis: Long,
    times: UsageTimes?
): LeaderRecord {
    val mayLackRecords = era > (newest?.era ?: 0)
    return copy(
        usage = if (times == null) {
            newest?.usage
        } else {
            UsageRecord.afterTakeover(newest?.usage, mayLackRecords, wallMillis, times)
        },
        lastCall = when {
            mayLackRecords -> LastOrder(LastOrder.UNKNOWN_INSTANCE, sinceMillis = 0)
            newest == null -> null
            newest.isResigning || newest.instance == instance -> newest.lastCall
            else -> LastOrder(newest.instance, sinceMillis = 0)
        },
        desiredEngines = newest?.desiredEngines.orEmpty()
    )
}
