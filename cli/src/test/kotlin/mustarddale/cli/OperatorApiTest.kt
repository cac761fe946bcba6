package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.auth.AuthToken
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.operator.ConfigurationAnswer
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorApiTest {
    private val stack = TestStack(instanceCount = 1)

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private data class BadChange(
        val name: String,
        val body: String,
        val status: Int,
        val kind: String,
        val type: MediaType = MediaType.JSON,
        val password: String = "pw"
    )

    private val domainOut = """{"change":{"type":"setDomain","domain":"north","state":"OUT"}}"""
    private val cases = listOf(
        BadChange("wrong password", domainOut, 401, "operator_unknown", password = "other"),
        BadChange(
            "cross-site form post",
            domainOut,
            400,
            "invalid_request",
            MediaType.PLAIN_TEXT
        ),
        BadChange("invalid JSON", "{", 400, "invalid_request"),
        BadChange("unknown change", """{"change":{"type":"x"}}""", 400, "invalid_request"),
        BadChange(
            "unknown domain",
            domainOut.replace("north", "east"),
            400,
            "invalid_request"
        ),
        BadChange(
            "outdated revision",
            domainOut.replace("{\"change", "{\"baseRevision\":0,\"change"),
            409,
            "revision_conflict"
        )
    )

    @TestFactory
    fun `refuses an invalid change with its error`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val response = post("/operator/v1/changes", case.body, case.type, case.password)
            assertEquals(case.status, response.status().code(), response.contentUtf8())
            assertEquals(case.kind, response.kind)
            assertEquals(1, current().revision)
        }
    }

    @Test
    fun `reports the difference and the faults of a configuration`() {
        val configuration = current().configuration
        val changed = configuration.copy(failureDomains = configuration.failureDomains.drop(1))
        val response = post("/operator/v1/check", ConfigurationFormat.write(changed))
        assertContains(response.contentUtf8(), "remove failure domain north")
        assertContains(response.contentUtf8(), "backendServers[0].failureDomain")
        assertEquals(1, current().revision)
    }

    @Test
    fun `serves the console and the metrics`() {
        assertContains(client("pw").get("/").aggregate().join().contentUtf8(), "<title>mustarddale")
        val metrics = client("").get("/metrics").aggregate().join().contentUtf8()
        assertContains(metrics, "mustarddale_ready 1.0")
    }

    private fun current(): ConfigurationAnswer = ConfigurationFormat.json.decodeFromString(
        ConfigurationAnswer.serializer(),
        stack.operator(0).read("/configuration")
    )

    private fun post(
        path: String,
        body: String,
        type: MediaType = MediaType.JSON,
        password: String = "pw"
    ): AggregatedHttpResponse {
        val request = HttpRequest.of(HttpMethod.POST, path, type, body)
        return client(password).execute(request).aggregate().join()
    }

    private fun client(password: String): WebClient =
        WebClient.builder("http://127.0.0.1:${stack.operatorPorts[0]}")
            .auth(AuthToken.ofBasic("op", password))
            .build()
}
