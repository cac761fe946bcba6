package mustarddale.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import mustarddale.config.ApiKey
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange.IssueKey
import mustarddale.config.ConfigurationChange.SetDomain
import mustarddale.config.ConfigurationChange.WithdrawKey
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.error.ErrorKind
import mustarddale.key.Sha256
import mustarddale.rate.SlotClaim
import mustarddale.rate.SlotTable
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class ControlStateTest {
    private val digest = Sha256.of(Fixtures.KEY)

    @Test
    fun `the second of two changes to one revision is refused with a reason`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed(base = 1))
        log.append(Fixtures.secondWriter, Fixtures.replaceProposed(base = 1))
        val rejected = assertIs<RecordStatus.Rejected>(log.statuses().last())
        assertEquals(ErrorKind.REVISION_CONFLICT, rejected.refusal.kind)
        assertEquals(2, log.fold().revision)
        val last = log.fold().audit.last()
        assertEquals("baseRevision: 1 is not the current revision, 2", last.refusedBecause)
    }

    @Test
    fun `a document based on an older revision cannot restore a withdrawn key`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.append(Fixtures.secondWriter, Fixtures.changeProposed(WithdrawKey(digest)))
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed(base = 1))
        assertNull(log.fold().index.accountByKeyDigest(digest))
    }

    @TestFactory
    fun `a record that is repeated or overtaken changes nothing`(): List<DynamicTest> {
        val issue = Fixtures.changeProposed(IssueKey("yard", ApiKey("two", Sha256.of("two"))))
        val domainOut = Fixtures.changeProposed(SetDomain("north", Availability.OUT))
        return listOf(
            "again" to listOf(2L to issue, 2L to issue),
            "repeated after a later record" to listOf(2L to issue, 3L to domainOut, 2L to issue),
            "overtaken by a later record" to listOf(3L to domainOut, 2L to issue)
        ).map { (name, records) ->
            DynamicTest.dynamicTest(name) {
                val log = FakeLog()
                log.append(Envelope(Fixtures.firstWriter, 1, Fixtures.replaceProposed()))
                records.forEach { (sequence, record) ->
                    log.append(Envelope(Fixtures.firstWriter, sequence, record))
                }
                assertEquals(RecordStatus.Duplicate, log.statuses().last())
                val isIssued = log.fold().index.accountByKeyDigest(Sha256.of("two")) != null
                assertEquals(records.first().second == issue, isIssued)
            }
        }
    }

    @Test
    fun `slots that are not configured cannot be claimed`() {
        val log = FakeLog()
        val claimBeforeConfiguration = SlotsClaimed(listOf(SlotClaim(0, SlotTable.NEVER_HELD)))
        log.append(Fixtures.secondWriter, claimBeforeConfiguration)
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        val claims = listOf(5, 6, 59).map { SlotClaim(it, SlotTable.NEVER_HELD) }
        log.append(Fixtures.secondWriter, SlotsClaimed(claims))
        assertEquals(setOf(5), log.fold().slots.heldBy(Fixtures.secondWriter))
    }

    @Test
    fun `the number of slots and their lease duration cannot be changed`() {
        val limits = Fixtures.configuration.limits
        listOf(limits.copy(rateSlots = 7), limits.copy(slotLeaseMillis = 20_000)).forEach {
            val log = FakeLog()
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
            val changed = Fixtures.configuration.copy(limits = it)
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed(changed, base = 1))
            assertIs<RecordStatus.Rejected>(log.statuses().last())
        }
    }

    @Test
    fun `a record that cannot be decoded is skipped`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.records.add(LogRecord(1, 2_000, "{\"not\":\"ours\"}"))
        assertEquals(RecordStatus.Unreadable, log.statuses().last())
        assertEquals(1, log.fold().revision)
    }

    @Test
    fun `a change of an unknown failure domain is refused with the field at fault`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.append(
            Fixtures.firstWriter,
            Fixtures.changeProposed(SetDomain("east", Availability.OUT))
        )
        val rejected = assertIs<RecordStatus.Rejected>(log.statuses().last())
        assertEquals("domain", rejected.refusal.field)
        assertEquals(1, log.fold().revision)
    }
}
