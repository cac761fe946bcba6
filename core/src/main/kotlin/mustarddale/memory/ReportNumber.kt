package mustarddale.memory

import kotlinx.serialization.Serializable

/**
 * The place of a load report among all reports of one engine.
 *
 * @property boot grows with each start of the engine.
 * @property sequence grows with each report since that start.
 */
@Serializable
public data class ReportNumber(public val boot: Long, public val sequence: Long) :
    Comparable<ReportNumber> {
    override fun compareTo(other: ReportNumber): Int =
        compareValuesBy(this, other, { it.boot }, { it.sequence })
}

/** The newest load report of [server] that the ledger has taken in. */
@Serializable
public data class ReportMark(public val server: String, public val number: ReportNumber)
