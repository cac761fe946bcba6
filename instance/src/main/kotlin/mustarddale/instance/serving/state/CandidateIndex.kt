/*
 * The servers of each service that may get new requests, with the models that they are known to
 * hold. The lists are built again when something that they depend on has changed, instead of for
 * each request: a request costs an instance little more than the choice among the few servers that
 * hold its model.
 */
package mustarddale.instance.serving.state

import kotlinx.collections.immutable.persistentMapOf
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.Candidate
import mustarddale.serving.backend.CandidateList
import mustarddale.serving.backend.DrainingDomains
import mustarddale.serving.backend.ModelRef

/**
 * Keeps the candidates of each service; confined to one thread.
 *
 * @param loadOf returns the load of a server.
 * @param isColdLimited whether requests to cold servers of a service need permits.
 */
internal class CandidateIndex(
    private val directory: BackendDirectory,
    private val drainingDomains: DrainingDomains,
    private val residency: ResidencyView,
    private val limits: ServerLimits,
    private val loadOf: (Backend) -> BackendLoad,
    private val isColdLimited: (String) -> Boolean
) {
    private val listsByService = HashMap<String, CandidateList>()
    private var directoryVersion = -1L
    private var domainsVersion = -1L
    private var residencyVersion = -1L
    private var isResidencyCurrent = false
    private var validUntilMillis = Long.MAX_VALUE

    /** Makes the next request build the lists again. */
    fun invalidate() {
        listsByService.clear()
        validUntilMillis = Long.MAX_VALUE
    }

    /** Returns the servers of [service]; see [ServingState.candidates]. */
    fun candidates(service: String, requestedModel: ModelRef?, nowMillis: Long): CandidateList {
        if (hasChanged(nowMillis)) invalidate()
        val list = listsByService[service] ?: build(service, nowMillis)
        val lacking = requestedModel?.let { residency.enginesReportedAbsent(it, nowMillis) }
        return if (lacking.isNullOrEmpty()) list else withoutModels(list, lacking)
    }

    private fun hasChanged(nowMillis: Long): Boolean {
        val isCurrent = residency.isCurrent(nowMillis)
        val areServersSame = directoryVersion == directory.version &&
            domainsVersion == drainingDomains.version
        val areModelsSame = residencyVersion == residency.version &&
            isResidencyCurrent == isCurrent
        if (areServersSame && areModelsSame && nowMillis < validUntilMillis) return false
        directoryVersion = directory.version
        domainsVersion = drainingDomains.version
        residencyVersion = residency.version
        isResidencyCurrent = isCurrent
        return true
    }

    private fun build(service: String, nowMillis: Long): CandidateList {
        val isLimited = isColdLimited(service)
        val candidates = ArrayList<Candidate>()
        directory.backends.forEach {
            if (it.service != service || it.isDraining || it.failureDomain in drainingDomains) {
                return@forEach
            }
            val load = loadOf(it)
            val backend = withKnownModels(it, load, nowMillis)
            candidates += Candidate(backend, load, isLimited, limits.limitOf(it))
        }
        return CandidateList(candidates).also { listsByService[service] = it }
    }

    private fun withKnownModels(backend: Backend, load: BackendLoad, nowMillis: Long): Backend {
        val models = residency.modelsOf(backend.id, nowMillis)
        if (models != null) return backend.copy(models = models)
        // What an entry says is not believed of a server that nothing has reached.
        val unreachableMillis = load.unreachableMillis(nowMillis)
        if (unreachableMillis <= 0) return backend
        validUntilMillis = minOf(validUntilMillis, nowMillis + unreachableMillis)
        return backend.copy(models = persistentMapOf())
    }

    private fun withoutModels(list: CandidateList, engines: Set<String>) = CandidateList(
        list.map {
            if (it.backend.id !in engines) return@map it
            it.copy(backend = it.backend.copy(models = persistentMapOf()))
        }
    )
}
