/*
 * A stand-in for the store of the users' platform: topics with one partition each, conditional
 * appends, reads that wait, and the newest record of each key.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.time.Duration
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/** A store on [port] of the loopback address, 0 for any. */
public class StoreStandIn(port: Int = 0) : AutoCloseable {
    private val topics = HashMap<String, MutableList<ByteArray>>()
    private val fault = AtomicReference<HttpResponse?>(null)
    private val server = Server.builder()
        .http(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .service("/log-append", HttpService { ctx, req -> answer { append(ctx, req) } })
        .service("/log-read", HttpService { ctx, _ -> answer { read(ctx) } })
        .service("/log-newest", HttpService { ctx, _ -> answer { newest(ctx) } })
        .build()
        .also { it.start().join() }

    /** The port that it listens on. */
    public val port: Int get() = server.activeLocalPort()

    /** Answers the next call with [response] instead. */
    public fun failNext(response: HttpResponse) {
        fault.set(response)
    }

    /** Appends [value] under [key] to the keyed topic [topic]; null removes the key. */
    public fun put(topic: String, key: String, value: String?): Unit = synchronized(topics) {
        val name = key.toByteArray()
        val record = byteArrayOf(name.size.toByte()) + name + value.orEmpty().toByteArray()
        topics.getOrPut(topic) { mutableListOf() }.add(record)
    }

    override fun close() {
        server.stop().join()
    }

    private fun answer(call: () -> HttpResponse): HttpResponse = fault.getAndSet(null) ?: call()

    private fun append(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val appended = req.aggregate().thenApply { appendAll(ctx, it.content().array()) }
        return HttpResponse.of(appended)
    }

    private fun appendAll(ctx: ServiceRequestContext, body: ByteArray): HttpResponse =
        synchronized(topics) {
            val records = topics.getOrPut(topicOf(ctx)) { mutableListOf() }
            val at = ctx.queryParam("at")?.toLong()
            if (at != null && at != records.size.toLong()) {
                return json(HttpStatus.PRECONDITION_FAILED, """{"end":${records.size}}""")
            }
            val offset = records.size
            val buffer = ByteBuffer.wrap(body)
            while (buffer.hasRemaining()) {
                records.add(ByteArray(buffer.getInt()).also { buffer.get(it) })
            }
            json(HttpStatus.OK, """{"offset":$offset,"end":${records.size}}""")
        }

    private fun read(ctx: ServiceRequestContext): HttpResponse {
        val from = checkNotNull(ctx.queryParam("from")).toInt()
        val waitMillis = ctx.queryParam("waitMs")?.toLong() ?: 0
        val found = recordsFrom(topicOf(ctx), from)
        if (found.isNotEmpty() || waitMillis == 0L) return data(ctx, from)
        val waited = CompletableFuture<HttpResponse>()
        ctx.eventLoop().schedule(
            { waited.complete(data(ctx, from)) },
            waitMillis.coerceAtMost(MAX_WAIT_MILLIS),
            java.util.concurrent.TimeUnit.MILLISECONDS
        )
        return HttpResponse.of(waited)
    }

    private fun data(ctx: ServiceRequestContext, from: Int): HttpResponse {
        val records = recordsFrom(topicOf(ctx), from)
        val size = 2 * Long.SIZE_BYTES + records.sumOf { Int.SIZE_BYTES + it.size }
        val buffer = ByteBuffer.allocate(size).putLong((from + records.size).toLong()).putLong(0)
        records.forEach { buffer.putInt(it.size).put(it) }
        return HttpResponse.of(
            HttpStatus.OK,
            MediaType.OCTET_STREAM,
            HttpData.wrap(buffer.array())
        )
    }

    private fun recordsFrom(topic: String, from: Int): List<ByteArray> = synchronized(topics) {
        topics[topic].orEmpty().drop(from)
    }

    private fun newest(ctx: ServiceRequestContext): HttpResponse = synchronized(topics) {
        val records = topics[topicOf(ctx)].orEmpty()
        val values = LinkedHashMap<String, String>()
        records.forEachIndexed { offset, record ->
            val key = String(record, 1, record[0].toInt())
            val value = record.copyOfRange(1 + record[0], record.size)
            val text = Base64.getEncoder().encodeToString(value)
            values[key] = """{"key":"$key","value":"$text","offset":$offset}"""
            if (value.isEmpty()) values.remove(key)
        }
        val items = values.values.joinToString(",")
        json(HttpStatus.OK, """{"items":[$items],"hasMore":false,"end":${records.size}}""")
    }

    private fun topicOf(ctx: ServiceRequestContext): String = checkNotNull(ctx.queryParam("topic"))

    private fun json(status: HttpStatus, text: String): HttpResponse =
        HttpResponse.of(status, MediaType.JSON, text)

    private companion object {
        /** Long polls are cut short, so that an instance hears of changes soon. */
        val MAX_WAIT_MILLIS = Duration.ofMillis(50).toMillis()
    }
}
