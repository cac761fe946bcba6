package mustarddale.instance.platform

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import java.util.concurrent.CompletionException
import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.http.BackendConnections

/** Whether an instance accepts new requests. */
@Serializable
public enum class InstanceState { LIVE, LEAVING }

/** One entry of the platform's instance list. */
@Serializable
public data class ListedInstance(
    public val id: String,
    public val failureDomain: String,
    public val peerHost: String,
    public val peerPort: Int,
    public val state: InstanceState
)

/** The platform's list of instances, which may be out of date. */
public interface InstanceList {
    /** Adds or renews the entry of [instance]; returns false if the list could not be updated. */
    public fun register(instance: ListedInstance): Boolean

    /** Returns the entries, null if the list could not be read. */
    public fun read(): List<ListedInstance>?
}

/** An [InstanceList] for the HTTP protocol in `docs/PROTOCOLS.md`. */
public class HttpInstanceList(url: String) : InstanceList {
    private val client = WebClient.builder(url)
        .factory(BackendConnections.defaultFactory)
        .responseTimeoutMillis(TIMEOUT_MILLIS)
        .build()

    override fun register(instance: ListedInstance): Boolean = try {
        val json = ConfigurationFormat.json
        val body = json.encodeToString(ListedInstance.serializer(), instance)
        val path = "$PATH/${instance.id}"
        val request = HttpRequest.of(HttpMethod.PUT, path, MediaType.JSON, body)
        client.execute(request).aggregate().join().status().isSuccess
    } catch (_: CompletionException) {
        false
    }

    override fun read(): List<ListedInstance>? = try {
        val response = client.get(PATH).aggregate().join()
        if (response.status().isSuccess) {
            ConfigurationFormat.json
                .decodeFromString(Listing.serializer(), response.contentUtf8())
                .instances
        } else {
            null
        }
    } catch (_: CompletionException) {
        null
    }

    @Serializable
    private data class Listing(val instances: List<ListedInstance>)

    private companion object {
        const val PATH = "/v1/instances"
        const val TIMEOUT_MILLIS = 2_000L
    }
}
