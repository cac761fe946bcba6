package mustarddale.instance.platform

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import java.util.concurrent.CompletionException
import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationFormat

/** Whether an instance takes requests. */
@Serializable
public enum class InstanceState { LIVE, LEAVING }

/** One line of the platform's list. */
@Serializable
public data class ListedInstance(
    public val id: String,
    public val failureDomain: String,
    public val peerHost: String,
    public val peerPort: Int,
    public val state: InstanceState
)

/** The platform's list of instances, which may lag. */
public interface InstanceList {
    /** Enters or renews the line of this instance; false if the list gave no answer. */
    public fun register(instance: ListedInstance): Boolean

    /** The lines, null if the list gave no answer. */
    public fun read(): List<ListedInstance>?
}

/** The list over HTTP, as `docs/PROTOCOLS.md` describes it. */
public class HttpInstanceList(url: String) : InstanceList {
    private val client = WebClient.builder(url).responseTimeoutMillis(TIMEOUT_MILLIS).build()

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
