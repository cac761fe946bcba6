/*
 * Tracks an upper bound of the accelerator memory in use on each engine, that is a backend server
 * that runs models. Memory for an artifact (a model or an adapter) is reserved when its load order
 * is recorded, before the order is sent, and released when a load report of the engine, which lists
 * its memory contents, shows that the artifact is gone. An order whose outcome is unknown may still
 * take effect, so its artifact stays reserved, unless the engine checks fencing tokens and has
 * already applied a later order.
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

/** Identifies a [LedgerEntry]. */
public data class LedgerKey(public val server: String, public val artifact: String)

/** The memory reservations on all engines; immutable. */
public data class MemoryLedger(
    private val byKey: PersistentMap<LedgerKey, LedgerEntry> = persistentMapOf(),
    private val newestReports: PersistentMap<String, ReportMark> = persistentMapOf()
) {
    /** Returns the number of the newest applied report of each engine. */
    public fun reports(): List<ReportMark> = newestReports.values.toList()

    /** Returns the entries of all engines. */
    public fun entries(): List<LedgerEntry> = byKey.values.toList()

    /** Returns the entries of [server]. */
    public fun entries(server: String): List<LedgerEntry> =
        byKey.values.filter { it.server == server }

    /** Returns the entry of [artifact] on [server], null if no memory is reserved for it. */
    public fun find(server: String, artifact: String): LedgerEntry? =
        byKey[LedgerKey(server, artifact)]

    /** Returns the most bytes that can be resident on [server], whichever orders take effect. */
    public fun committedBytes(server: String): Long = entries(server).sumOf { it.memoryBytes }

    /** Reserves memory for [order], or refuses it if the engine might run out of memory. */
    public fun proposeOrder(
        order: OrderProposed,
        index: ConfigurationIndex,
        offset: Long,
        logTimeMillis: Long
    ): Outcome<MemoryLedger> {
        val server = index.server(order.server)
            ?: return refuse("backend server ${order.server} is not configured")
        return when (order.kind) {
            OrderKind.LOAD -> proposeLoad(order, server, index, offset, logTimeMillis)
            OrderKind.UNLOAD -> proposeUnload(order, offset, logTimeMillis)
        }
    }

    /** Applies the engine's acceptance or refusal of an order. */
    public fun applyOrderAnswer(record: OrderAnswered): MemoryLedger {
        val entry = find(record.server, record.artifact) ?: return this
        val resolved = entry.copy(openLoads = entry.openLoads - record.orderOffset)
        val takenAfter = record.takenAfter ?: return applyRefusal(record, entry, resolved)
        if (record.orderOffset !in entry.openLoads) return this
        val wasUnresolved = entry.residency == Residency.UNRESOLVED
        val next = resolved.copy(
            takenAfter = maxOf(takenAfter, entry.takenAfter ?: takenAfter),
            residency = if (wasUnresolved) Residency.LOADING else entry.residency
        )
        return replaceEntry(next, entry)
    }

    /** Applies the residency shown by a load report; ignores a report that is not the newest. */
    public fun applyReport(record: ResidencyObserved, index: ConfigurationIndex): MemoryLedger {
        val server = index.server(record.server) ?: return this
        if (isStale(record)) return this
        val held = record.held.associateBy { it.name }
        val updated = entries(record.server).fold(this) { ledger, entry ->
            val current = removeResolvedLoads(entry, record, server)
            ledger.replaceEntry(applyReportTo(current, held[entry.artifact], record), entry)
        }
        val complete = record.held.fold(updated) { ledger, artifact ->
            ledger.addReported(record, artifact)
        }
        val mark = ReportMark(record.server, record.number)
        return complete.copy(newestReports = newestReports.put(record.server, mark))
    }

    private fun isStale(record: ResidencyObserved): Boolean {
        val mark = newestReports[record.server] ?: return false
        return record.number <= mark.number
    }

    private fun applyRefusal(
        record: OrderAnswered,
        entry: LedgerEntry,
        resolved: LedgerEntry
    ): MemoryLedger {
        val isNewest = entry.orderOffset == record.orderOffset
        val next = when {
            isNewest && entry.residency == Residency.UNLOADING ->
                resolved.copy(residency = Residency.RESIDENT)

            isNewest && entry.residency == Residency.LOADING && entry.takenAfter == null ->
                markUnresolved(resolved)

            else -> resolved
        }
        return replaceEntry(removeIfSettled(next), entry)
    }

    /** Removes the open loads of [entry] that the engine has applied or will refuse as outdated. */
    private fun removeResolvedLoads(
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
        checkLoadAllowed(order, entry, index, logTimeMillis)?.let { return it }
        val bytes = ArtifactSizes.memoryBytes(index, server.service, order.artifact)
            ?: return refuse("service ${server.service} does not configure ${order.artifact}")
        val reservedBytes = entry?.memoryBytes ?: 0
        val neededBytes = maxOf(bytes, reservedBytes)
        val freeBytes = server.memoryBytes - committedBytes(order.server) + reservedBytes
        if (neededBytes > freeBytes) {
            return refuse(
                "${order.artifact} needs $neededBytes bytes, ${order.server} has $freeBytes free"
            )
        }
        val next = LedgerEntry(
            server = order.server,
            artifact = order.artifact,
            memoryBytes = neededBytes,
            residency = Residency.LOADING,
            openLoads = entry?.openLoads.orEmpty() + offset,
            orderOffset = offset,
            orderedAtMillis = logTimeMillis
        )
        return Outcome.Success(replaceEntry(next, entry))
    }

    private fun checkLoadAllowed(
        order: OrderProposed,
        entry: LedgerEntry?,
        index: ConfigurationIndex,
        logTimeMillis: Long
    ): Outcome.Failure? = when {
        order.server !in newestReports ->
            refuse("no load report of ${order.server} has been received yet")

        entry != null && entry.residency !in LOADABLE_STATES ->
            refuse("${order.artifact} is ${entry.residency} on ${order.server}")

        else -> checkLoadLimits(order, index, logTimeMillis)
    }

    private fun checkLoadLimits(
        order: OrderProposed,
        index: ConfigurationIndex,
        logTimeMillis: Long
    ): Outcome.Failure? {
        val loading = byKey.values.filter {
            it.residency == Residency.LOADING &&
                logTimeMillis - it.orderedAtMillis < LOADING_TIMEOUT_MILLIS
        }
        if (loading.any { it.artifact == order.artifact }) {
            return refuse("${order.artifact} is already being loaded")
        }
        val isAdapter = index.models[order.artifact]?.adapter != null
        val limits = index.configuration.limits
        val limit = if (isAdapter) limits.adapterLoadsAtOnce else limits.modelLoadsAtOnce
        val sameKind = loading.count { (index.models[it.artifact]?.adapter != null) == isAdapter }
        return if (sameKind >= limit) refuse("load limit reached: $sameKind in progress") else null
    }

    private fun proposeUnload(
        order: OrderProposed,
        offset: Long,
        logTimeMillis: Long
    ): Outcome<MemoryLedger> {
        val entry = find(order.server, order.artifact)
            ?: return refuse("${order.artifact} is not resident on ${order.server}")
        if (entry.residency !in setOf(Residency.RESIDENT, Residency.UNLOADING)) {
            return refuse("${order.artifact} is ${entry.residency} on ${order.server}")
        }
        val next = entry.copy(
            residency = Residency.UNLOADING,
            orderOffset = offset,
            orderedAtMillis = logTimeMillis
        )
        return Outcome.Success(replaceEntry(next, entry))
    }

    private fun applyReportTo(
        entry: LedgerEntry,
        held: HeldArtifact?,
        record: ResidencyObserved
    ): LedgerEntry? {
        if (held != null) return markResident(entry, held)
        val takenAfter = entry.takenAfter
        val predatesOrder = takenAfter != null && record.number <= takenAfter
        return if (predatesOrder) entry else removeIfSettled(markAbsent(entry))
    }

    private fun markAbsent(entry: LedgerEntry): LedgerEntry {
        val isLoading = entry.residency == Residency.LOADING && entry.openLoads.isNotEmpty()
        return if (isLoading) entry else markUnresolved(entry)
    }

    private fun markResident(entry: LedgerEntry, held: HeldArtifact): LedgerEntry {
        val bytes = maxOf(entry.memoryBytes, held.memoryBytes)
        val isUnloading = entry.residency == Residency.UNLOADING
        val residency = if (isUnloading) Residency.UNLOADING else Residency.RESIDENT
        return entry.copy(memoryBytes = bytes, residency = residency)
    }

    private fun addReported(record: ResidencyObserved, held: HeldArtifact): MemoryLedger {
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
        return replaceEntry(entry, null)
    }

    private fun markUnresolved(entry: LedgerEntry): LedgerEntry =
        entry.copy(residency = Residency.UNRESOLVED)

    /** Returns [entry], null if it reserves memory only for loads that are all resolved. */
    private fun removeIfSettled(entry: LedgerEntry): LedgerEntry? =
        entry.takeUnless { it.residency == Residency.UNRESOLVED && it.openLoads.isEmpty() }

    private fun replaceEntry(next: LedgerEntry?, previous: LedgerEntry?): MemoryLedger = when {
        next != null -> copy(byKey = byKey.put(LedgerKey(next.server, next.artifact), next))
        previous != null ->
            copy(byKey = byKey.remove(LedgerKey(previous.server, previous.artifact)))
        else -> this
    }

    public companion object {
        /** A load that is not reported as done by then stops counting against the load limits. */
        private const val LOADING_TIMEOUT_MILLIS = 30_000L
        private val LOADABLE_STATES = setOf(Residency.LOADING, Residency.UNRESOLVED)

        /** Restores a ledger from its [entries] and the newest applied [reports]. */
        public fun of(entries: List<LedgerEntry>, reports: List<ReportMark>): MemoryLedger =
            MemoryLedger(
                byKey = entries.associateBy { LedgerKey(it.server, it.artifact) }.toPersistentMap(),
                newestReports = reports.associateBy { it.server }.toPersistentMap()
            )
    }
}

private fun refuse(message: String): Outcome.Failure = failure(ErrorKind.NO_BACKEND, message)
