#include "fakeservice.h"

#include <algorithm>

namespace chervilpaddle::support {

namespace {
constexpr Duration networkLatency = std::chrono::microseconds(200);
constexpr Duration tickPeriod = std::chrono::milliseconds(5);
constexpr double jitterRatio = 0.2;
} // namespace

FakeNode::FakeNode(FakeServices &services, Candidate self, ServiceName service, int slots, const PolicySwitches &policy, std::uint64_t seed)
    : m_services(services)
    , m_self(std::move(self))
    , m_service(std::move(service))
    , m_backendSlots(slots)
    , m_policy(policy)
    , m_random(seed)
{
    Executor::Hooks executorHooks{
        services.time().clock(), [this](const Run &run) { acceptRun(run); }, [this](RunId run) { cancelRun(run); }};
    m_executor =
        std::make_unique<Executor>(Executor::Options{m_self.instance, m_self.incarnation, slots, policy, {}}, std::move(executorHooks));
    Router::Hooks routerHooks;
    routerHooks.clock = services.time().clock();
    routerHooks.schedule = [this](Duration delay, std::function<void()> action) {
        m_services.time().after(delay, [alive = m_alive, action = std::move(action)] {
            if (*alive) {
                action();
            }
        });
    };
    routerHooks.candidates = [this](const ServiceName &wanted) -> const std::vector<Candidate> & { return m_services.candidates(wanted); };
    routerHooks.send = [this](const InstanceId &to, const PeerMessage &message) { return m_services.send(*this, to, message); };
    m_router = std::make_unique<Router>(Router::Options{m_self.dataCentre, m_self.incarnation, policy, m_random()}, std::move(routerHooks));
    tick();
}

const Candidate &FakeNode::self() const
{
    return m_self;
}

const ServiceName &FakeNode::service() const
{
    return m_service;
}

Executor &FakeNode::executor()
{
    return *m_executor;
}

Router &FakeNode::router()
{
    return *m_router;
}

void FakeNode::kill()
{
    *m_alive = false;
}

bool FakeNode::isAlive() const
{
    return *m_alive;
}

void FakeNode::setSlowdown(double factor)
{
    m_slowdown = factor;
}

void FakeNode::setFailureRate(double rate)
{
    m_failureRate = rate;
}

void FakeNode::tick()
{
    m_services.time().after(tickPeriod, [this, alive = m_alive] {
        if (*alive) {
            m_executor->tick();
            tick();
        }
    });
}

void FakeNode::acceptRun(const Run &run)
{
    auto job = std::make_shared<Job>();
    job->run = run;
    m_jobs[run.id] = job;
    if (m_runningJobs >= m_backendSlots) {
        m_waitingJobs.push_back(job);
        return;
    }
    startJob(job);
}

void FakeNode::startJob(const std::shared_ptr<Job> &job)
{
    const CallContext &context = job->run.call.context;
    ++m_runningJobs;
    ++m_services.startCounts[{context.request.value(), context.operation.value()}];
    job->startedAt = m_services.time().now();
    const double jitter = 1 + jitterRatio * (2 * uniformFraction(m_random) - 1);
    const Duration work = fromSeconds(toSeconds(m_services.operation(context.operation).serviceTime) * m_slowdown * jitter);
    m_services.time().after(work, [this, alive = m_alive, job] {
        if (*alive) {
            callNext(job);
        }
    });
}

void FakeNode::callNext(const std::shared_ptr<Job> &job)
{
    if (m_jobs.count(job->run.id) == 0) {
        return;
    }
    const CallContext &parent = job->run.call.context;
    const FakeOperation &operation = m_services.operation(parent.operation);
    if (job->nextCall == operation.calls.size()) {
        finishJob(job, uniformFraction(m_random) < m_failureRate ? ResultCode::AnswerLost : ResultCode::Done);
        return;
    }
    const OperationName childName = operation.calls[job->nextCall++];
    const FakeOperation &child = m_services.operation(childName);
    OutboundCall call;
    call.context = parent;
    call.context.operation = childName;
    call.context.depth = parent.depth + 1;
    call.context.idempotent = child.idempotent;
    call.deadline = m_services.time().now() + child.deadline;
    if (m_policy.deadlineEnforcement) {
        call.deadline = std::min(call.deadline, job->run.deadline);
    }
    call.allowance = job->run.allowance;
    auto id = std::make_shared<CallId>();
    *id = m_router->call(std::move(call), [this, job, id, childName](const CallResult &result) {
        job->children.erase(*id);
        m_executor->recordChildPrice(job->run.call.context.operation, childName, m_router->price(childName));
        if (result.code == ResultCode::Done) {
            callNext(job);
        } else {
            finishJob(job, ResultCode::DoneWithError);
        }
    });
    job->children.insert(*id);
}

void FakeNode::finishJob(const std::shared_ptr<Job> &job, ResultCode code)
{
    if (m_jobs.erase(job->run.id) == 0) {
        return;
    }
    if (const auto waiting = std::find(m_waitingJobs.begin(), m_waitingJobs.end(), job); waiting != m_waitingJobs.end()) {
        m_waitingJobs.erase(waiting);
    } else {
        --m_runningJobs;
        m_services.slotSeconds[job->run.call.context.request.value()] += toSeconds(m_services.time().now() - job->startedAt);
    }
    BackendResult result;
    result.code = code;
    result.payload.status = 200;
    result.payload.body =
        std::make_shared<const std::string>(job->run.call.context.request.value() + " " + job->run.call.context.operation.value());
    m_executor->completeRun(job->run.id, result);
    while (m_runningJobs < m_backendSlots && !m_waitingJobs.empty()) {
        const auto next = m_waitingJobs.front();
        m_waitingJobs.pop_front();
        startJob(next);
    }
}

void FakeNode::cancelRun(RunId run)
{
    const auto job = m_jobs.find(run);
    if (job == m_jobs.end()) {
        return;
    }
    const auto cancelledJob = job->second;
    for (const CallId child : std::set<CallId>(cancelledJob->children)) {
        m_router->cancel(child);
    }
    // As over HTTP, the end of the run is reported asynchronously.
    m_services.time().after(Duration::zero(), [this, alive = m_alive, cancelledJob] {
        if (*alive) {
            finishJob(cancelledJob, ResultCode::CancelledWhileRunning);
        }
    });
}

FakeServices::FakeServices(VirtualTime &time, std::uint64_t seed)
    : m_time(time)
    , m_random(seed)
    , m_deliveryFunction([](const InstanceId &, const InstanceId &, const PeerMessage &) { return Delivery{{networkLatency}}; })
{
}

void FakeServices::addOperation(const OperationName &name, const FakeOperation &operation)
{
    m_operations[name] = operation;
}

const FakeOperation &FakeServices::operation(const OperationName &name) const
{
    return m_operations.at(name);
}

FakeNode &FakeServices::addNode(
    const std::string &instance, const std::string &service, const std::string &dataCentre, int slots, const PolicySwitches &policy)
{
    m_nodeOptions[instance] = {service, dataCentre, slots, policy};
    return replaceNode(instance);
}

FakeNode &FakeServices::replaceNode(const std::string &instance)
{
    const NodeOptions &options = m_nodeOptions.at(instance);
    auto &entry = m_nodes[InstanceId(instance)];
    if (entry) {
        entry->kill();
        m_replacedNodes.push_back(std::move(entry));
    }
    const Candidate self{InstanceId(instance), Incarnation(randomIdentifier(m_random)), DataCentreName(options.dataCentre), false};
    entry = std::make_unique<FakeNode>(*this, self, ServiceName(options.service), options.slots, options.policy, m_random());
    m_candidates.clear();
    for (const auto &[id, node] : m_nodes) {
        m_candidates[node->service()].push_back(node->self());
    }
    return *entry;
}

FakeNode &FakeServices::node(const std::string &instance)
{
    return *m_nodes.at(InstanceId(instance));
}

std::vector<FakeNode *> FakeServices::nodes()
{
    std::vector<FakeNode *> all;
    for (const auto &[id, node] : m_nodes) {
        all.push_back(node.get());
    }
    return all;
}

void FakeServices::setDeliveryFunction(DeliveryFunction deliveryFunction)
{
    m_deliveryFunction = std::move(deliveryFunction);
}

VirtualTime &FakeServices::time()
{
    return m_time;
}

RandomSource &FakeServices::random()
{
    return m_random;
}

const std::vector<Candidate> &FakeServices::candidates(const ServiceName &service)
{
    return m_candidates[service];
}

bool FakeServices::send(FakeNode &from, const InstanceId &to, const PeerMessage &message)
{
    if (m_nodes.count(to) == 0) {
        return false;
    }
    const InstanceId sender = from.self().instance;
    for (const Duration delay : m_deliveryFunction(sender, to, message).copies) {
        m_time.after(delay, [this, sender, to, message] { deliver(sender, to, message); });
    }
    return true;
}

void FakeServices::answer(const InstanceId &from, const InstanceId &to, const ResponseMessage &answer)
{
    for (const Duration delay : m_deliveryFunction(from, to, answer).copies) {
        m_time.after(delay, [this, from, to, answer] { deliver(from, to, answer); });
    }
}

void FakeServices::deliver(const InstanceId &from, const InstanceId &to, const PeerMessage &message)
{
    FakeNode &receiver = *m_nodes.at(to);
    if (!receiver.isAlive()) {
        return;
    }
    if (const auto *call = std::get_if<CallMessage>(&message); call != nullptr) {
        receiver.executor().submit(*call, Duration::zero(), [this, from, to](const ResponseMessage &reply) { answer(to, from, reply); });
    } else if (const auto *reply = std::get_if<ResponseMessage>(&message); reply != nullptr) {
        receiver.router().handleResponse(from, *reply);
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message); cancel != nullptr) {
        receiver.executor().cancel(cancel->ticket);
    }
}

} // namespace chervilpaddle::support
