package mustarddale.instance.log

import mustarddale.control.LogRecord

/** A log in memory that does to each append what the script says, then appends for good. */
class FakeLogClient(private val script: ArrayDeque<Fault> = ArrayDeque()) : LogClient {
    enum class Fault { REFUSED, LOST_BEFORE, LOST_AFTER, LANDED_TWICE }

    private val records = mutableListOf<LogRecord>()
    private val lock = Object()

    override fun append(records: List<String>): AppendResult = synchronized(lock) {
        when (script.removeFirstOrNull()) {
            Fault.REFUSED -> AppendResult.NotAppended("refused")

            Fault.LOST_BEFORE -> AppendResult.Unknown("lost")

            Fault.LOST_AFTER -> {
                land(records)
                AppendResult.Unknown("lost")
            }

            Fault.LANDED_TWICE -> {
                land(records)
                AppendResult.Appended(land(records))
            }

            null -> AppendResult.Appended(land(records))
        }
    }

    override fun read(fromOffset: Long, waitMillis: Long): ReadResult = synchronized(lock) {
        if (fromOffset >= records.size) lock.wait(waitMillis.coerceAtLeast(1))
        ReadResult.Read(records.drop(fromOffset.toInt()), records.size.toLong())
    }

    private fun land(data: List<String>): Long {
        val first = records.size.toLong()
        data.forEach { records.add(LogRecord(records.size.toLong(), 1_000, it)) }
        lock.notifyAll()
        return first
    }
}
