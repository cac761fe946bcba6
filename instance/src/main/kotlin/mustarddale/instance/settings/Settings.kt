/*
 * The startup settings of one instance: its own addresses and the URLs of the platform. Everything
 * that operators can change at run time is in the configuration instead.
 */
package mustarddale.instance.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import mustarddale.config.ConfigurationFormat
import mustarddale.config.Fault
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** An operator, authenticated by the SHA-256 digest of a password. */
@Serializable
public data class OperatorCredential(public val name: String, public val sha256: String)

/**
 * The startup settings of one instance.
 *
 * @property reportIntervalMillis how often the load report of each engine is fetched.
 * @property appendTimeoutMillis how long to wait until a record is in the log.
 * @property lameDuckMillis how long requests are accepted after readiness turns off at shutdown.
 * @property drainMillis how long requests in flight may take to finish after that period.
 * @property silenceMillis idle timeout of the response stream of an engine.
 * @property loadWaitMillis how long a request waits for its model to be loaded.
 */
@Serializable
public data class Settings(
    public val instanceId: String,
    public val failureDomain: String,
    public val host: String = "127.0.0.1",
    public val callerPort: Int,
    public val operatorPort: Int,
    public val peerPort: Int,
    public val logUrl: String,
    public val instanceListUrl: String,
    public val operators: List<OperatorCredential> = emptyList(),
    public val maxBodyBytes: Long = 4L * 1_024 * 1_024,
    public val maxConnections: Int = 4_096,
    public val reportIntervalMillis: Long = 500,
    public val peerHeartbeatMillis: Long = 500,
    public val appendTimeoutMillis: Long = 2_000,
    public val silenceMillis: Long = 5_000,
    public val loadWaitMillis: Long = 15_000,
    public val lameDuckMillis: Long = 2_000,
    public val drainMillis: Long = 120_000
) {
    /** Returns all validation faults; an instance can start if there are none. */
    public fun validate(): List<Fault> = buildList {
        if (instanceId.isBlank()) add(Fault("instanceId", "must not be empty"))
        if (failureDomain.isBlank()) add(Fault("failureDomain", "must not be empty"))
        ports().forEach { (field, port) ->
            if (port !in 0..MAX_PORT) add(Fault(field, "must be between 0 and $MAX_PORT"))
        }
        urls().forEach { (field, url) ->
            if (!url.startsWith("http")) add(Fault(field, "must be an HTTP URL, but is \"$url\""))
        }
        positiveValues().forEach { (field, value) ->
            if (value <= 0) add(Fault(field, "must be greater than 0"))
        }
        operators.forEachIndexed { index, operator ->
            if (operator.sha256.length != DIGEST_DIGITS) {
                add(Fault("operators[$index].sha256", "must be $DIGEST_DIGITS hex digits"))
            }
        }
    }

    private fun ports() = listOf(
        "callerPort" to callerPort,
        "operatorPort" to operatorPort,
        "peerPort" to peerPort
    )

    private fun urls() = listOf("logUrl" to logUrl, "instanceListUrl" to instanceListUrl)

    private fun positiveValues() = listOf(
        "maxBodyBytes" to maxBodyBytes,
        "reportIntervalMillis" to reportIntervalMillis,
        "peerHeartbeatMillis" to peerHeartbeatMillis,
        "appendTimeoutMillis" to appendTimeoutMillis,
        "silenceMillis" to silenceMillis,
        "loadWaitMillis" to loadWaitMillis,
        "drainMillis" to drainMillis
    )

    public companion object {
        private const val MAX_PORT = 65_535
        private const val DIGEST_DIGITS = 64

        /** Parses settings from JSON [text] and validates them. */
        public fun read(text: String): Outcome<Settings> = try {
            validated(ConfigurationFormat.json.decodeFromString(serializer(), text))
        } catch (e: SerializationException) {
            parseFailure(e)
        } catch (e: IllegalArgumentException) {
            parseFailure(e)
        }

        private fun validated(settings: Settings): Outcome<Settings> {
            val faults = settings.validate()
            if (faults.isEmpty()) return Outcome.Success(settings)
            val message = faults.joinToString("; ") { "${it.field}: ${it.message}" }
            return failure(ErrorKind.INVALID_REQUEST, message, faults.first().field)
        }

        private fun parseFailure(cause: Exception): Outcome.Failure =
            failure(ErrorKind.INVALID_REQUEST, cause.message.orEmpty().lineSequence().first())
    }
}
