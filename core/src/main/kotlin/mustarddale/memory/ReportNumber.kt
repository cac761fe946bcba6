package mustarddale.memory

import kotlinx.serialization.Serializable

/**
 * The position of a load report in the sequence of one engine's reports.
 *
 * @property boot increases with each start of the engine.
 * @property sequence increases with each report since that start.
 */
@Serializable
public data class ReportNumber(public val boot: Long, public val sequence: Long) :
    Comparable<ReportNumber> {
    override fun compareTo(other: ReportNumber): Int =
        compareValuesBy(this, other, { it.boot }, { it.sequence })
}

/** The number of the newest load report of [server] that the ledger has applied. */
@Serializable
public data class ReportMark(public val server: String, public val number: ReportNumber)
