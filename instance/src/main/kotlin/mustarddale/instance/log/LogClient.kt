package mustarddale.instance.log

import mustarddale.control.LogRecord

/** The outcome of an append. */
public sealed interface AppendResult {
    /** The records are in the log, starting at [firstOffset]. */
    public data class Appended(public val firstOffset: Long) : AppendResult

    /** The records are not in the log and will not be added later. */
    public data class NotAppended(public val reason: String) : AppendResult

    /** The records may be in the log, or may still be added later. */
    public data class Unknown(public val reason: String) : AppendResult
}

/** The outcome of a read. */
public sealed interface ReadResult {
    /** Records in offset order; [endOffset] is the end of the log at the time of the read. */
    public data class Read(public val records: List<LogRecord>, public val endOffset: Long) :
        ReadResult

    /** The requested record has aged out; the oldest record in the log is at [firstOffset]. */
    public data class AgedOut(public val firstOffset: Long) : ReadResult

    /** The log returned no usable response. */
    public data class Failed(public val reason: String) : ReadResult
}

/** The platform's append-only log; calls block, so make them only from a dedicated thread. */
public interface LogClient {
    /** Appends [records] contiguously and atomically. */
    public fun append(records: List<String>): AppendResult

    /** Reads records from [fromOffset] on, waiting up to [waitMillis] if there are none yet. */
    public fun read(fromOffset: Long, waitMillis: Long): ReadResult
}
