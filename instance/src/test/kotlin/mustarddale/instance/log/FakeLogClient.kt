package mustarddale.instance.log

import mustarddale.control.LogRecord

/** An in-memory log that takes one of [faults] for each append, and works once none is left. */
class FakeLogClient(private val faults: ArrayDeque<Fault> = ArrayDeque()) : LogClient {
    /** The append is refused, its request or response is lost, or its records are added twice. */
    enum class Fault { REFUSED, REQUEST_LOST, RESPONSE_LOST, APPENDED_TWICE }

    private val records = mutableListOf<LogRecord>()
    private val lock = Object()

    override fun append(records: List<String>): AppendResult = synchronized(lock) {
        when (faults.removeFirstOrNull()) {
            Fault.REFUSED -> AppendResult.NotAppended("refused")

            Fault.REQUEST_LOST -> AppendResult.Unknown("lost")

            Fault.RESPONSE_LOST -> {
                appendRecords(records)
                AppendResult.Unknown("lost")
            }

            Fault.APPENDED_TWICE -> {
                appendRecords(records)
                AppendResult.Appended(appendRecords(records))
            }

            null -> AppendResult.Appended(appendRecords(records))
        }
    }

    override fun read(fromOffset: Long, waitMillis: Long): ReadResult = synchronized(lock) {
        if (fromOffset >= records.size) lock.wait(waitMillis.coerceAtLeast(1))
        ReadResult.Read(records.drop(fromOffset.toInt()), records.size.toLong())
    }

    private fun appendRecords(data: List<String>): Long {
        val first = records.size.toLong()
        data.forEach { records.add(LogRecord(records.size.toLong(), 1_000, it)) }
        lock.notifyAll()
        return first
    }
}
