package mustarddale.control

import mustarddale.config.ApiKey
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.FailureDomain
import mustarddale.config.Limits
import mustarddale.config.Model
import mustarddale.config.Route
import mustarddale.config.Service
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.key.Sha256

/** A small configuration, two writers and the records that tests append. */
object Fixtures {
    const val KEY = "key-of-yard"
    const val ENGINE_BYTES = 100L
    val firstWriter = WriterId("instance-1", "a")
    val secondWriter = WriterId("instance-2", "b")

    val configuration = Configuration(
        failureDomains = listOf(FailureDomain("north"), FailureDomain("south")),
        clientAccounts = listOf(
            ClientAccount("yard", 1_000, 4_000, listOf(ApiKey("till", Sha256.of(KEY))))
        ),
        services = listOf(
            Service(
                "writer",
                models = listOf(Model("m1", 40), Model("m2", 40), Model("m3", 40))
            ),
            Service("office", routes = listOf(Route("/bookings")))
        ),
        backendServers = listOf(
            BackendServer("e1", "writer", "http://e1", "north", ENGINE_BYTES, true),
            BackendServer("e2", "writer", "http://e2", "south", ENGINE_BYTES, false),
            BackendServer("o1", "office", "http://o1", "north")
        ),
        limits = Limits(rateSlots = 6, modelLoadsAtOnce = 100)
    )

    fun changeProposed(change: ConfigurationChange, base: Long? = null): ChangeProposed =
        ChangeProposed("operator", base, change)

    fun replaceProposed(configuration: Configuration = this.configuration, base: Long = 0) =
        changeProposed(ConfigurationChange.Replace(configuration), base)
}

/** An in-memory control log that assigns offsets and the time [nowMillis] to its records. */
class FakeLog {
    private val sequences = mutableMapOf<WriterId, Long>()
    val records = mutableListOf<LogRecord>()
    var nowMillis = 1_000L

    fun append(writer: WriterId, record: ControlRecord): LogRecord {
        val sequence = (sequences[writer] ?: 0) + 1
        sequences[writer] = sequence
        return append(Envelope(writer, sequence, record))
    }

    fun append(envelope: Envelope): LogRecord {
        val data = ControlState.encode(envelope)
        val record = LogRecord(records.size.toLong(), nowMillis, data)
        records.add(record)
        return record
    }

    fun fold(from: ControlState = ControlState.EMPTY): ControlState =
        records.drop(from.nextOffset.toInt()).fold(from) { state, record ->
            state.fold(record).state
        }

    fun statuses(): List<RecordStatus> {
        var state = ControlState.EMPTY
        return records.map { record ->
            val folded = state.fold(record)
            state = folded.state
            folded.status
        }
    }
}
