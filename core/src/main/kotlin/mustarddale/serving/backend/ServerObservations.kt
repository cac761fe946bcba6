/*
 * What instances tell each other of servers through the leader, in a compact form: with 61
 * instances and 78 servers, these are most of the bytes between them. A server is named by a hash
 * of its run. An entry has a fixed length of 8 to 10 bytes; later builds may add blocks of other
 * kinds at the end, which earlier ones ignore.
 */
package mustarddale.serving.backend

import java.nio.BufferUnderflowException
import java.nio.ByteBuffer

/** The load that the server with [key] reported [ageMillis] ago. */
public data class ServerFigure(
    public val key: Int,
    public val running: Int,
    public val waiting: Int,
    public val pacePercent: Int?,
    public val ageMillis: Long
) {
    public companion object {
        /** Returns the figure of the [aged] load of the server with [key]. */
        public fun of(key: Int, aged: AgedLoad): ServerFigure = ServerFigure(
            key,
            aged.load.running,
            aged.load.waiting,
            aged.load.pacePercent,
            aged.ageMillis
        )
    }
}

/** The times of requests to the server with [key] at loads of the class [loadClass]. */
public data class ServerSamples(
    public val key: Int,
    public val loadClass: Int,
    public val samples: PerformanceSamples
)

/** The performance of the server with [key] as all instances together have seen it. */
public data class ServerEstimate(public val key: Int, public val estimate: FleetEstimate)

/** News of servers; instances send [figures] and [samples], leaders [figures] and [estimates]. */
public data class ServerObservations(
    public val figures: List<ServerFigure> = emptyList(),
    public val samples: List<ServerSamples> = emptyList(),
    public val estimates: List<ServerEstimate> = emptyList()
) {
    /** Whether there is nothing to send. */
    public val isEmpty: Boolean
        get() = figures.isEmpty() && samples.isEmpty() && estimates.isEmpty()

    /** Encodes all entries, in blocks of up to 255. */
    public fun encode(): ByteArray {
        val buffer = ByteBuffer.allocate(encodedSize())
        writeBlocks(buffer, FIGURES, figures) {
            buffer.putInt(it.key).put(byteOf(it.running)).put(byteOf(it.waiting))
                .put(byteOf(it.pacePercent?.let { pace -> maxOf(1, pace / PACE_UNIT) } ?: 0))
                .put(byteOf((it.ageMillis / AGE_UNIT_MILLIS).toInt()))
        }
        writeBlocks(buffer, SAMPLES, samples) {
            val count = it.samples.count.coerceIn(1, MAX_BYTE)
            val logTime = it.samples.logTimeSum / it.samples.count
            val requests = it.samples.requestSum / it.samples.count
            buffer.putInt(it.key).put(byteOf(it.loadClass)).put(byteOf(count))
                .putShort(shortOf(logTime * LOG_UNITS)).putShort(shortOf(requests * SLOT_UNITS))
        }
        writeBlocks(buffer, ESTIMATES, estimates) {
            buffer.putInt(it.key).putShort(shortOf(it.estimate.logSlowness * LOG_UNITS))
                .putShort(shortOf(it.estimate.effectiveSlots * SLOT_UNITS))
        }
        return buffer.array()
    }

    private fun encodedSize() = blockSize(figures, FIGURE_BYTES) +
        blockSize(samples, SAMPLE_BYTES) + blockSize(estimates, ESTIMATE_BYTES)

    public companion object {
        private const val FIGURES = 1
        private const val SAMPLES = 2
        private const val ESTIMATES = 3
        private const val HEAD_BYTES = 2
        private const val FIGURE_BYTES = 8
        private const val SAMPLE_BYTES = 10
        private const val ESTIMATE_BYTES = 8
        private const val MAX_BYTE = 255

        /** A byte holds ages up to 2.5 s and paces up to 1,020 in 100. */
        private const val AGE_UNIT_MILLIS = 10
        private const val PACE_UNIT = 4
        private const val LOG_UNITS = 1_000.0
        private const val SLOT_UNITS = 16.0

        /** Returns the key of the server [run]. */
        public fun keyOf(run: String): Int = run.hashCode()

        /** Decodes what [encode] has written; what is malformed is left out. */
        public fun decode(bytes: ByteArray): ServerObservations {
            val figures = ArrayList<ServerFigure>()
            val samples = ArrayList<ServerSamples>()
            val estimates = ArrayList<ServerEstimate>()
            val buffer = ByteBuffer.wrap(bytes)
            try {
                while (buffer.hasRemaining()) {
                    val kind = buffer.unsigned()
                    val count = buffer.unsigned()
                    when (kind) {
                        FIGURES -> repeat(count) { figures += readFigure(buffer) }
                        SAMPLES -> repeat(count) { samples += readSamples(buffer) }
                        ESTIMATES -> repeat(count) { estimates += readEstimate(buffer) }
                        else -> return ServerObservations(figures, samples, estimates)
                    }
                }
            } catch (_: BufferUnderflowException) {
                // The complete entries before the end count.
            }
            return ServerObservations(figures, samples, estimates)
        }

        private fun readFigure(buffer: ByteBuffer) = ServerFigure(
            key = buffer.getInt(),
            running = buffer.unsigned(),
            waiting = buffer.unsigned(),
            pacePercent = buffer.unsigned().takeIf { it > 0 }?.let { it * PACE_UNIT },
            ageMillis = buffer.unsigned().toLong() * AGE_UNIT_MILLIS
        )

        private fun readSamples(buffer: ByteBuffer): ServerSamples {
            val key = buffer.getInt()
            val loadClass = buffer.unsigned().coerceAtMost(ConcurrencyCurve.CLASSES - 1)
            val count = buffer.unsigned().coerceAtLeast(1)
            val logTime = buffer.getShort() / LOG_UNITS
            val requests = buffer.getShort() / SLOT_UNITS
            val samples = PerformanceSamples(count, logTime * count, requests * count)
            return ServerSamples(key, loadClass, samples)
        }

        private fun readEstimate(buffer: ByteBuffer) = ServerEstimate(
            buffer.getInt(),
            FleetEstimate(buffer.getShort() / LOG_UNITS, buffer.getShort() / SLOT_UNITS)
        )

        private fun blockSize(entries: List<*>, entryBytes: Int): Int {
            val blocks = (entries.size + MAX_BYTE - 1) / MAX_BYTE
            return blocks * HEAD_BYTES + entries.size * entryBytes
        }

        private fun <T> writeBlocks(
            buffer: ByteBuffer,
            kind: Int,
            entries: List<T>,
            write: (T) -> Unit
        ) {
            for (index in entries.indices) {
                if (index % MAX_BYTE == 0) {
                    buffer.put(byteOf(kind)).put(byteOf(entries.size - index))
                }
                write(entries[index])
            }
        }

        private fun byteOf(value: Int): Byte = value.coerceIn(0, MAX_BYTE).toByte()

        private fun shortOf(value: Double): Short =
            value.coerceIn(Short.MIN_VALUE.toDouble(), Short.MAX_VALUE.toDouble()).toInt().toShort()

        private fun ByteBuffer.unsigned(): Int = get().toInt() and MAX_BYTE
    }
}
