#include "core/gate_state.h"

static heap_link_t *
link_by_target(void *table, uint32_t part)
{
    return &((gate_t *)table)->parts[part].by_target;
}

static heap_link_t *
link_by_eviction(void *table, uint32_t part)
{
    return &((gate_t *)table)->parts[part].by_eviction;
}

static heap_link_t *
link_by_latest_start(void *table, uint32_t part)
{
    return &((gate_t *)table)->parts[part].by_latest_start;
}

static heap_link_t *
link_by_flow(void *table, uint32_t target)
{
    return &((gate_t *)table)->targets[target].by_flow;
}

static heap_link_t *
link_by_timer(void *table, uint32_t target)
{
    return &((gate_t *)table)->targets[target].by_timer;
}

static heap_link_t *
link_by_ready(void *table, uint32_t flow)
{
    return &((gate_t *)table)->flows[flow].by_ready;
}

/* Orders parts by class, then deadline, then arrival. */
static bool
part_before(const void *table, uint32_t a, uint32_t b)
{
    const gate_part_t *one = &((const gate_t *)table)->parts[a];
    const gate_part_t *other = &((const gate_t *)table)->parts[b];
    if (one->class != other->class) {
        return one->class < other->class;
    }
    if (one->deadline_us != other->deadline_us) {
        return one->deadline_us < other->deadline_us;
    }
    return one->order < other->order;
}

static bool
part_evicts_before(const void *table, uint32_t a, uint32_t b)
{
    return part_before(table, b, a);
}

static bool
part_latest_start_before(const void *table, uint32_t a, uint32_t b)
{
    const gate_t *gate = table;
    return gate->parts[a].latest_start_us < gate->parts[b].latest_start_us;
}

static bool
target_before(const void *table, uint32_t a, uint32_t b)
{
    const gate_t *gate = table;
    return part_before(gate, gate->targets[a].queue.root,
                       gate->targets[b].queue.root);
}

static bool
timer_before(const void *table, uint32_t a, uint32_t b)
{
    const gate_t *gate = table;
    return gate->targets[a].timer_us < gate->targets[b].timer_us;
}

static uint32_t
flow_first_part(const gate_t *gate, const flow_t *flow)
{
    return gate->targets[flow->targets.root].queue.root;
}

/*
 * Orders flows by the class of their first part, then by virtual time, then by
 * the order of their first parts.
 */
static bool
flow_before(const void *table, uint32_t a, uint32_t b)
{
    const gate_t *gate = table;
    const flow_t *one = &gate->flows[a];
    const flow_t *other = &gate->flows[b];
    uint32_t first = flow_first_part(gate, one);
    uint32_t second = flow_first_part(gate, other);
    if (gate->parts[first].class != gate->parts[second].class) {
        return gate->parts[first].class < gate->parts[second].class;
    }
    if (one->virtual_time != other->virtual_time) {
        return one->virtual_time < other->virtual_time;
    }
    return part_before(gate, first, second);
}

const heap_order_t order_by_target = {link_by_target, part_before};
const heap_order_t order_by_eviction = {link_by_eviction, part_evicts_before};
const heap_order_t order_by_latest_start = {link_by_latest_start,
                                            part_latest_start_before};
const heap_order_t order_by_flow = {link_by_flow, target_before};
const heap_order_t order_by_timer = {link_by_timer, timer_before};
const heap_order_t order_by_ready = {link_by_ready, flow_before};

bool
flow_has_room(const gate_t *gate, const flow_t *flow)
{
    const service_t *service = &gate->services[flow->service];
    return flow->in_use < flow->limit && service->in_use < service->limit;
}

static void
flow_dequeue(gate_t *gate, uint32_t index)
{
    flow_t *flow = &gate->flows[index];
    if (flow->ready) {
        heap_remove(&gate->ready_flows, &order_by_ready, gate, index);
        flow->ready = false;
    }
}

static void
flow_enqueue_if_ready(gate_t *gate, uint32_t index)
{
    flow_t *flow = &gate->flows[index];
    if (flow->ready || flow->targets.root == HEAP_NONE ||
        !flow_has_room(gate, flow)) {
        return;
    }
    flow->ready = true;
    heap_push(&gate->ready_flows, &order_by_ready, gate, index);
}

void
service_update(gate_t *gate, uint32_t service)
{
    uint32_t flow = gate->services[service].first_flow;
    while (flow != HEAP_NONE) {
        flow_dequeue(gate, flow);
        flow_enqueue_if_ready(gate, flow);
        flow = gate->flows[flow].next_in_service;
    }
}

bool
target_admits(const gate_t *gate, const target_t *target,
              const gate_part_t *part, int64_t now_us)
{
    if (target->runs_suspect || (part->suspect && target->in_progress > 0)) {
        return false;
    }
    uint32_t bound = cold_bound(&target->cold, &target->limits, now_us);
    if (part->class == CLASS_BATCH && target->batch_leaves_slot && bound > 1) {
        bound--;
    }
    return target->in_progress < bound && !gate->config_failed;
}

/* Sets the timer of a target in backoff or drain that has waiting parts. */
static void
target_set_timer(gate_t *gate, uint32_t index, int64_t now_us)
{
    target_t *target = &gate->targets[index];
    int64_t blocked_until_us = cold_blocked_until(&target->cold);
    bool wanted = target->queue.root != HEAP_NONE && blocked_until_us > now_us;
    if (target->has_timer && wanted && target->timer_us == blocked_until_us) {
        return;
    }
    if (target->has_timer) {
        heap_remove(&gate->timers, &order_by_timer, gate, index);
    }
    target->has_timer = wanted;
    target->timer_us = blocked_until_us;
    if (wanted) {
        heap_push(&gate->timers, &order_by_timer, gate, index);
    }
}

void
target_update(gate_t *gate, uint32_t index, int64_t now_us)
{
    target_t *target = &gate->targets[index];
    flow_t *flow = &gate->flows[target->flow];
    uint32_t first = target->queue.root;
    bool wanted = first != HEAP_NONE &&
                  target_admits(gate, target, &gate->parts[first], now_us);
    target_set_timer(gate, index, now_us);
    if (!wanted && !target->runnable) {
        return;
    }
    flow_dequeue(gate, target->flow);
    if (target->runnable) {
        heap_remove(&flow->targets, &order_by_flow, gate, index);
    }
    target->runnable = wanted;
    if (wanted) {
        heap_push(&flow->targets, &order_by_flow, gate, index);
    }
    flow_enqueue_if_ready(gate, target->flow);
}

static void
part_count_waiting(gate_t *gate, const gate_part_t *part, int change)
{
    target_t *target = &gate->targets[part->target];
    target->waiting[part->class] += (uint32_t)change;
    flow_t *flow = &gate->flows[target->flow];
    flow->waiting[part->class] += (uint32_t)change;
    gate->services[flow->service].waiting[part->class] += (uint32_t)change;
}

static heap_t *
part_eviction_heap(gate_t *gate, uint32_t part)
{
    const target_t *target = &gate->targets[gate->parts[part].target];
    return &gate->services[gate->flows[target->flow].service].eviction;
}

static void
part_enqueue_common(gate_t *gate, uint32_t part)
{
    heap_push(part_eviction_heap(gate, part), &order_by_eviction, gate, part);
    heap_push(&gate->expiring, &order_by_latest_start, gate, part);
    part_count_waiting(gate, &gate->parts[part], 1);
    gate->waiting_count++;
}

void
part_enqueue(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    uint32_t first = target->queue.root;
    entry->state = PART_STATE_WAITING;
    part_enqueue_common(gate, part);
    heap_push(&target->queue, &order_by_target, gate, part);
    part_list_append(gate, &target->waiting_parts, part);
    if (target->queue.root != first) {
        target_update(gate, entry->target, now_us);
    }
}

void
part_hold(gate_t *gate, uint32_t part)
{
    gate->parts[part].state = PART_STATE_HELD;
    part_enqueue_common(gate, part);
    part_list_append(gate, &gate->held, part);
}

void
part_dequeue(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    heap_remove(part_eviction_heap(gate, part), &order_by_eviction, gate,
                part);
    heap_remove(&gate->expiring, &order_by_latest_start, gate, part);
    part_count_waiting(gate, entry, -1);
    gate->waiting_count--;
    if (entry->state == PART_STATE_HELD) {
        part_list_remove(gate, &gate->held, part);
        return;
    }
    bool was_first = target->queue.root == part;
    part_list_remove(gate, &target->waiting_parts, part);
    heap_remove(&target->queue, &order_by_target, gate, part);
    if (was_first) {
        target_update(gate, entry->target, now_us);
    }
}

void
part_refuse(gate_t *gate, uint32_t part, part_status_t status, int64_t now_us)
{
    part_dequeue(gate, part, now_us);
    gate->parts[part].state = PART_STATE_REFUSED;
    gate->parts[part].refusal = status;
    gate->targets[gate->parts[part].target].refused++;
    part_list_append(gate, &gate->refused, part);
    part_release_claim(gate, part, now_us);
}

/*
 * Refusing a suspect releases its claim, which may move other parts in or out
 * of the list; the loop then starts again from the first part.
 */
static void
list_refuse_unservable(gate_t *gate, const part_list_t *list, uint32_t target,
                       int64_t now_us)
{
    const cold_t *cold = &gate->targets[target].cold;
    bool draining = cold_is_draining(cold, now_us);
    int64_t blocked_until_us = cold_blocked_until(cold);
    uint32_t part = list->first;
    while (part != HEAP_NONE) {
        const gate_part_t *entry = &gate->parts[part];
        uint32_t next = entry->list_next;
        bool suspect = entry->suspect;
        bool late = entry->latest_start_us <= blocked_until_us;
        if (entry->target == target && (draining || late)) {
            part_refuse(gate, part, draining ? PART_GONE : PART_COLD, now_us);
            next = suspect ? list->first : next;
        }
        part = next;
    }
}

void
target_refuse_unservable(gate_t *gate, uint32_t target, int64_t now_us)
{
    if (cold_blocked_until(&gate->targets[target].cold) <= now_us) {
        return;
    }
    const part_list_t *waiting = &gate->targets[target].waiting_parts;
    list_refuse_unservable(gate, waiting, target, now_us);
    list_refuse_unservable(gate, &gate->held, target, now_us);
}

/*
 * Orders services for eviction: by the lowest priority class among their
 * waiting parts, then by the number of waiting parts of that class for their
 * weight, then by the order of the parts to evict.
 */
static bool
service_evicts_before(const gate_t *gate, const service_t *one,
                      const service_t *other)
{
    const gate_part_t *first = &gate->parts[one->eviction.root];
    const gate_part_t *second = &gate->parts[other->eviction.root];
    if (first->class != second->class) {
        return first->class > second->class;
    }
    uint64_t load = (uint64_t)one->waiting[first->class] * other->weight;
    uint64_t other_load = (uint64_t)other->waiting[first->class] * one->weight;
    if (load != other_load) {
        return load > other_load;
    }
    return part_evicts_before(gate, one->eviction.root, other->eviction.root);
}

uint32_t
queue_victim(const gate_t *gate)
{
    const service_t *victim = NULL;
    for (uint32_t i = 0; i < gate->service_count; i++) {
        const service_t *service = &gate->services[i];
        if (service->eviction.root != HEAP_NONE &&
            (victim == NULL || service_evicts_before(gate, service, victim))) {
            victim = service;
        }
    }
    return victim == NULL ? HEAP_NONE : victim->eviction.root;
}

void
part_count_start(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    flow_t *flow = &gate->flows[target->flow];
    service_t *service = &gate->services[flow->service];
    entry->state = PART_STATE_SENT;
    entry->started_alone = target->in_progress == 0;
    entry->sent_at_start = ++target->sent;
    entry->boot = target->boot;
    target->in_progress++;
    target->runs_suspect = entry->suspect;
    flow_dequeue(gate, target->flow);
    if (flow->virtual_time < gate->virtual_time) {
        flow->virtual_time = gate->virtual_time;
    }
    gate->virtual_time = flow->virtual_time;
    flow->virtual_time += VIRTUAL_TIME_SCALE / service->weight;
    flow->in_use++;
    service->in_use++;
    target_update(gate, entry->target, now_us);
    flow_enqueue_if_ready(gate, target->flow);
    if (service->in_use == service->limit) {
        service_update(gate, flow->service);
    }
}

void
part_count_end(gate_t *gate, uint32_t part, int64_t now_us)
{
    gate_part_t *entry = &gate->parts[part];
    target_t *target = &gate->targets[entry->target];
    flow_t *flow = &gate->flows[target->flow];
    service_t *service = &gate->services[flow->service];
    target->in_progress--;
    target->runs_suspect = false;
    flow->in_use--;
    service->in_use--;
    target_update(gate, entry->target, now_us);
    flow_enqueue_if_ready(gate, target->flow);
    if (service->in_use + 1 == service->limit) {
        service_update(gate, flow->service);
    }
}

/*
 * Estimates how long a part waits for one of limit slots. ahead: the number of
 * waiting parts that precede it.
 */
static int64_t
slot_wait_us(uint32_t ahead, uint32_t in_use, uint32_t limit,
             int64_t median_service_us)
{
    uint32_t room = in_use < limit ? limit - in_use : 0;
    if (ahead < room) {
        return 0;
    }
    uint32_t slots = limit > 0 ? limit : 1;
    return median_service_us * (int64_t)(ahead - room + 1) / (int64_t)slots;
}

static uint32_t
count_ahead(const uint32_t *waiting, class_t class)
{
    uint32_t ahead = 0;
    for (class_t c = 0; c <= class; c++) {
        ahead += waiting[c];
    }
    return ahead;
}

int64_t
target_wait_us(const gate_t *gate, const target_t *target, class_t class,
               int64_t now_us)
{
    const flow_t *flow = &gate->flows[target->flow];
    int64_t blocked_until_us = cold_blocked_until(&target->cold);
    int64_t blocked_us =
        blocked_until_us > now_us ? blocked_until_us - now_us : 0;
    uint32_t bound =
        cold_bound(&target->cold, &target->limits, now_us + blocked_us);
    int64_t wait_us =
        slot_wait_us(count_ahead(target->waiting, class), target->in_progress,
                     bound, target->median_service_us);
    int64_t flow_us =
        slot_wait_us(count_ahead(flow->waiting, class), flow->in_use,
                     flow->limit, target->median_service_us);
    return blocked_us + (wait_us > flow_us ? wait_us : flow_us);
}
