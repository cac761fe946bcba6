package mustarddale.instance.log

import mustarddale.control.LogRecord

/** The outcome of an append. */
public sealed interface AppendResult {
    /** The records stand in the log from [firstOffset] on. */
    public data class Appended(public val firstOffset: Long) : AppendResult

    /** They do not stand in the log and never will. */
    public data class NotAppended(public val reason: String) : AppendResult

    /** They may stand in the log, or land there later. */
    public data class Unknown(public val reason: String) : AppendResult
}

/** The outcome of a read. */
public sealed interface ReadResult {
    /** Records in offset order; [endOffset] is where the log ended at the time of the read. */
    public data class Read(public val records: List<LogRecord>, public val endOffset: Long) :
        ReadResult

    /** The offset has aged out; the log now starts at [firstOffset]. */
    public data class AgedOut(public val firstOffset: Long) : ReadResult

    /** The log gave no answer. */
    public data class Failed(public val reason: String) : ReadResult
}

/** The platform's append-only log. Calls block; each belongs on the thread of one duty. */
public interface LogClient {
    /** Appends [records] one behind the other, all or none. */
    public fun append(records: List<String>): AppendResult

    /** Reads from [fromOffset] on, and waits up to [waitMillis] if there is nothing yet. */
    public fun read(fromOffset: Long, waitMillis: Long): ReadResult
}
