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
class OperatorTest {
    private val stack = TestStack(instanceCount = 1)

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private data class Row(
        val name: String,
        val body: String,
        val status: Int,
        val kind: String,
        val type: MediaType = MediaType.JSON,
        val password: String = "pw"
    )

    private val domainOut =
        """{"change":{"type":"setDomain","domain":"north","state":"OUT"}}"""
    private val rows = listOf(
        Row("wrong password", domainOut, 401, "operator_unknown", password = "other"),
        Row(
            "posted by a page of another site",
            domainOut,
            400,
            "invalid_request",
            MediaType.PLAIN_TEXT
        ),
        Row("no JSON", "{", 400, "invalid_request"),
        Row("unknown change", """{"change":{"type":"x"}}""", 400, "invalid_request"),
        Row(
            "a domain that is not there",
            domainOut.replace("north", "east"),
            400,
            "invalid_request"
        ),
        Row(
            "an old revision",
            domainOut.replace("{\"change", "{\"baseRevision\":0,\"change"),
            409,
            "revision_conflict"
        )
    )

    @TestFactory
    fun `refuses a change with the reason`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) {
            val answer = post("/operator/v1/changes", row.body, row.type, row.password)
            assertEquals(row.status, answer.status().code(), answer.contentUtf8())
            assertEquals(row.kind, answer.kind)
            assertEquals(1, current().revision)
        }
    }

    @Test
    fun `tells what a document would change and what is wrong with it`() {
        val document = current().configuration
        val changed = document.copy(failureDomains = document.failureDomains.drop(1))
        val answer = post("/operator/v1/check", ConfigurationFormat.write(changed))
        assertContains(answer.contentUtf8(), "remove failure domain north")
        assertContains(answer.contentUtf8(), "backendServers[0].failureDomain")
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
