package mustarddale.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** Reads and writes the JSON form of documents; unknown fields are refused. */
public object ConfigurationFormat {
    /** The JSON settings that all documents and log records share. */
    public val json: Json = Json { encodeDefaults = true }

    private val pretty = Json(json) { prettyPrint = true }

    /** Reads [text], and checks it as a whole. */
    public fun read(text: String): Outcome<Configuration> = try {
        checked(json.decodeFromString(Configuration.serializer(), text))
    } catch (e: SerializationException) {
        invalid(e)
    } catch (e: IllegalArgumentException) {
        invalid(e)
    }

    /** Writes [configuration] for people to read. */
    public fun write(configuration: Configuration): String =
        pretty.encodeToString(Configuration.serializer(), configuration)

    private fun checked(configuration: Configuration): Outcome<Configuration> {
        val faults = ConfigurationValidator.validate(configuration)
        if (faults.isEmpty()) return Outcome.Success(configuration)
        val message = faults.joinToString("; ") { "${it.field}: ${it.message}" }
        return failure(ErrorKind.INVALID_REQUEST, message, faults.first().field)
    }

    private fun invalid(cause: Exception): Outcome.Failure =
        failure(ErrorKind.INVALID_REQUEST, cause.message.orEmpty().lineSequence().first())
}
