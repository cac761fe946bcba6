/*
 * What may be in the accelerator memory of each engine. An artifact (a model or an adapter) counts
 * from the record of its load order, before the order is sent, until an unload is seen done. An
 * order message without an outcome may still land, so it keeps its artifact counted, unless the
 * engine checks fencing numbers and has applied a later order.
 */
package mustarddale.memory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import mustarddale.config.BackendServer
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** The key of a [LedgerEntry]. */
public data class LedgerKey(public val server: String, public val artifact: String)

/** The memory of all engines. */
public data class MemoryLedger(
    private val byPlace: PersistentMap<LedgerKey, LedgerEntry> = persistentMapOf(),
    private val marks: PersistentMap<String, ReportMark> = persistentMapOf()
) {
    /** The newest report of each engine. */
    public fun reports(): List<ReportMark> = marks.values.toList()

    /** All entries. */
    public fun entries(): List<LedgerEntry> = byPlace.values.toList()

    /** The entries of [server]. */
    public fun entries(server: String): List<LedgerEntry> =
        byPlace.values.filter { it.server == server }

    /** The entry of [artifact] on [server]. */
    public fun find(server: String, artifact: String): LedgerEntry? =
        byPlace[LedgerKey(server, artifact)]

    /** The most that can be resident on [server], whatever orders still land. */
    public fun committedBytes(server: String): Long = entries(server).sumOf { it.memoryBytes }

    /** Takes an order on, if the engine has room for it whatever else still lands. */
    public fun proposeOrder(
        order: OrderProposed,
        index: ConfigurationIndex,
        offset: Long,
        logTimeMillis: Long
    ): Outcome<MemoryLedger> {
        val server = index.server(order.server)
            ?: return refuse("there is no backend server ${order.server}")
        return when (order.kind) {
            OrderKind.LOAD -> proposeLoad(order, server, index, offset, logTimeMillis)
            OrderKind.UNLOAD -> proposeUnload(order, offset, logTimeMillis)
        }
    }

    /** Notes that the message of an order arrived and was taken or refused. */
    public fun applyOrderAnswer(record: OrderAnswered): MemoryLedger {
        val entry = find(record.server, record.artifact) ?: return this
        val resolved = entry.copy(openLoads = entry.openLoads - record.orderOffset)
        val takenAfter = record.takenAfter ?: return refused(record, entry, resolved)
        if (record.orderOffset !in entry.openLoads) return this
        val wasUnresolved = entry.residency == Residency.UNRESOLVED
        val next = resolved.copy(
            takenAfter = maxOf(takenAfter, entry.takenAfter ?: takenAfter),
            residency = if (wasUnresolved) Residency.LOADING else entry.residency
        )
        return put(next, entry)
    }

    /** Takes in what a report shows, unless a newer report of that engine was taken in before. */
    public fun applyReport(record: ResidencyObserved, index: ConfigurationIndex): MemoryLedger {
        val server = index.server(record.server) ?: return this
        if (isOld(record)) return this
        val held = record.held.associateBy { it.name }
        val known = entries(record.server).fold(this) { ledger, entry ->
            val settled = settleLoads(entry, record, server)
            ledger.put(observeEntry(settled, held[entry.artifact], record), entry)
        }
        val complete = record.held.fold(known) { ledger, artifact ->
            ledger.addSeen(record, artifact)
        }
        val mark = ReportMark(record.server, record.number)
        return complete.copy(marks = marks.put(record.server, mark))
    }

    private fun isOld(record: ResidencyObserved): Boolean {
        val mark = marks[record.server] ?: return false
        return record.number <= mark.number
    }

    private fun refused(
        record: OrderAnswered,
        entry: LedgerEntry,
        resolved: LedgerEntry
    ): MemoryLedger {
        val isNewest = entry.orderOffset == record.orderOffset
        val next = when {
            isNewest && entry.residency == Residency.UNLOADING ->
                resolved.copy(residency = Residency.RESIDENT)

            isNewest && entry.residency == Residency.LOADING && entry.takenAfter == null ->
                asUnresolved(resolved)

            else -> resolved
        }
        return put(dropIfUnresolved(next), entry)
    }

    private fun settleLoads(
        entry: LedgerEntry,
        record: ResidencyObserved,
        server: BackendServer
    ): LedgerEntry {
        val open = if (server.checksFencing) {
            entry.openLoads.filter { it > record.appliedFence }
        } else {
            entry.openLoads - record.appliedFence
        }
        return entry.copy(openLoads = open)
    }

    private fun proposeLoad(
        order: OrderProposed,
        server: BackendServer,
        index: ConfigurationIndex,
        offset: Long,
        logTimeMillis: Long
    ): Outcome<MemoryLedger> {
        val entry = find(order.server, order.artifact)
        loadRefusal(order, entry, index, logTimeMillis)?.let { return it }
        val bytes = ArtifactSizes.memoryBytes(index, server.service, order.artifact)
            ?: return refuse("${order.artifact} is not served by ${server.service}")
        val counted = entry?.memoryBytes ?: 0
        val needed = maxOf(bytes, counted)
        val room = server.memoryBytes - committedBytes(order.server) + counted
        if (needed > room) {
            return refuse("${order.artifact} needs $needed bytes, ${order.server} has $room")
        }
        val next = LedgerEntry(
            server = order.server,
            artifact = order.artifact,
            memoryBytes = needed,
            residency = Residency.LOADING,
            openLoads = entry?.openLoads.orEmpty() + offset,
            orderOffset = offset,
            orderedAtMillis = logTimeMillis
        )
        return Outcome.Success(put(next, entry))
    }

    private fun loadRefusal(
        order: OrderProposed,
        entry: LedgerEntry?,
        index: ConfigurationIndex,
        logTimeMillis: Long
    ): Outcome.Failure? = when {
        order.server !in marks -> refuse("no report of ${order.server} was seen yet")

        entry != null && entry.residency !in MAY_LOAD ->
            refuse("${order.artifact} is ${entry.residency} on ${order.server}")

        else -> pacingRefusal(order, index, logTimeMillis)
    }

    private fun pacingRefusal(
        order: OrderProposed,
        index: ConfigurationIndex,
        logTimeMillis: Long
    ): Outcome.Failure? {
        val loading = byPlace.values.filter {
            it.residency == Residency.LOADING &&
                logTimeMillis - it.orderedAtMillis < LOADING_BELIEVED_MILLIS
        }
        if (loading.any { it.artifact == order.artifact }) {
            return refuse("${order.artifact} is being loaded")
        }
        val isAdapter = index.models[order.artifact]?.adapter != null
        val limits = index.configuration.limits
        val limit = if (isAdapter) limits.adapterLoadsAtOnce else limits.modelLoadsAtOnce
        val sameKind = loading.count { (index.models[it.artifact]?.adapter != null) == isAdapter }
        return if (sameKind >= limit) refuse("$sameKind loads are under way") else null
    }

    private fun proposeUnload(
        order: OrderProposed,
        offset: Long,
        logTimeMillis: Long
    ): Outcome<MemoryLedger> {
        val entry = find(order.server, order.artifact)
            ?: return refuse("${order.artifact} is not on ${order.server}")
        if (entry.residency !in setOf(Residency.RESIDENT, Residency.UNLOADING)) {
            return refuse("${order.artifact} is ${entry.residency} on ${order.server}")
        }
        val next = entry.copy(
            residency = Residency.UNLOADING,
            orderOffset = offset,
            orderedAtMillis = logTimeMillis
        )
        return Outcome.Success(put(next, entry))
    }

    private fun observeEntry(
        entry: LedgerEntry,
        held: HeldArtifact?,
        record: ResidencyObserved
    ): LedgerEntry? {
        if (held != null) return observeHeld(entry, held)
        val takenAfter = entry.takenAfter
        val isTooEarly = takenAfter != null && record.number <= takenAfter
        return if (isTooEarly) entry else dropIfUnresolved(observeAbsent(entry))
    }

    private fun observeAbsent(entry: LedgerEntry): LedgerEntry {
        val isLoading = entry.residency == Residency.LOADING && entry.openLoads.isNotEmpty()
        return if (isLoading) entry else asUnresolved(entry)
    }

    private fun observeHeld(entry: LedgerEntry, held: HeldArtifact): LedgerEntry {
        val bytes = maxOf(entry.memoryBytes, held.memoryBytes)
        val isLeaving = entry.residency == Residency.UNLOADING
        val residency = if (isLeaving) Residency.UNLOADING else Residency.RESIDENT
        return entry.copy(memoryBytes = bytes, residency = residency)
    }

    private fun addSeen(record: ResidencyObserved, held: HeldArtifact): MemoryLedger {
        if (find(record.server, held.name) != null) return this
        val entry = LedgerEntry(
            server = record.server,
            artifact = held.name,
            memoryBytes = held.memoryBytes,
            residency = Residency.RESIDENT,
            openLoads = emptyList(),
            orderOffset = 0,
            orderedAtMillis = 0
        )
        return put(entry, null)
    }

    private fun asUnresolved(entry: LedgerEntry): LedgerEntry =
        entry.copy(residency = Residency.UNRESOLVED)

    private fun dropIfUnresolved(entry: LedgerEntry): LedgerEntry? =
        entry.takeUnless { it.residency == Residency.UNRESOLVED && it.openLoads.isEmpty() }

    private fun put(next: LedgerEntry?, before: LedgerEntry?): MemoryLedger = when {
        next != null -> copy(byPlace = byPlace.put(LedgerKey(next.server, next.artifact), next))
        before != null -> copy(byPlace = byPlace.remove(LedgerKey(before.server, before.artifact)))
        else -> this
    }

    public companion object {
        /** After this time a load that was not seen done no longer holds up others. */
        private const val LOADING_BELIEVED_MILLIS = 30_000L
        private val MAY_LOAD = setOf(Residency.LOADING, Residency.UNRESOLVED)

        /** Returns the ledger with [entries] and the newest [reports]. */
        public fun of(entries: List<LedgerEntry>, reports: List<ReportMark>): MemoryLedger =
            MemoryLedger(
                byPlace = entries.associateBy {
                    LedgerKey(it.server, it.artifact)
                }.toPersistentMap(),
                marks = reports.associateBy { it.server }.toPersistentMap()
            )
    }
}

private fun refuse(message: String): Outcome.Failure = failure(ErrorKind.NO_BACKEND, message)
