package mustarddale.bench

import java.nio.file.Files
import java.nio.file.Path

/** What the process [processId] has used so far, as Linux counts it. */
internal class ProcessCost(processId: Long) {
    private val directory = Path.of("/proc/$processId")

    /** Returns its processor time in user and system mode, in milliseconds. */
    fun processorMillis(): Long {
        val fields = Files.readString(directory.resolve("stat")).substringAfterLast(") ").split(' ')
        return (fields[USER_FIELD].toLong() + fields[SYSTEM_FIELD].toLong()) * TICK_MILLIS
    }

    /** Returns the peak of its resident memory, in kilobytes. */
    fun peakKilobytes(): Long = status("VmHWM")

    /** Returns the number of its threads. */
    fun threads(): Long = status("Threads")

    private fun status(name: String): Long = Files.readAllLines(directory.resolve("status"))
        .first { it.startsWith("$name:") }
        .filter(Char::isDigit)
        .toLong()

    private companion object {
        /** Fields of `stat` after the command's name. */
        const val USER_FIELD = 11
        const val SYSTEM_FIELD = 12

        /** Linux reports processor time in hundredths of a second. */
        const val TICK_MILLIS = 10L
    }
}
