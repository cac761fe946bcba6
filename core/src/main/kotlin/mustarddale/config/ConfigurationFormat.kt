package mustarddale.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** Reads and writes the JSON form of the configuration; unknown fields are errors. */
public object ConfigurationFormat {
    /** The JSON format of documents, log records and messages. */
    public val json: Json = Json { encodeDefaults = true }

    private val prettyJson = Json(json) { prettyPrint = true }

    /** Parses [text] and validates the configuration. */
    public fun read(text: String): Outcome<Configuration> = try {
        validated(json.decodeFromString(Configuration.serializer(), text))
    } catch (e: SerializationException) {
        parseFailure(e)
    } catch (e: IllegalArgumentException) {
        parseFailure(e)
    }

    /** Returns [configuration] as indented JSON. */
    public fun write(configuration: Configuration): String =
        prettyJson.encodeToString(Configuration.serializer(), configuration)

    private fun validated(configuration: Configuration): Outcome<Configuration> {
        val faults = ConfigurationValidator.validate(configuration)
        if (faults.isEmpty()) return Outcome.Success(configuration)
        val message = faults.joinToString("; ") { "${it.field}: ${it.message}" }
        return failure(ErrorKind.INVALID_REQUEST, message, faults.first().field)
    }

    private fun parseFailure(cause: Exception): Outcome.Failure =
        failure(ErrorKind.INVALID_REQUEST, cause.message.orEmpty().lineSequence().first())
}
