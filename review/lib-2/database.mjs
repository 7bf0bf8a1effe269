// Stand-in for the instances of one service, as PROTOCOL.md describes them: "Instances" and "The wire".
import { createServer } from 'node:net';

const END = '\r\n';
const MAXIMUM_LINE_BYTES = 1_048_576;
const NETWORK_MS = 1;

/** Splits a stream into lines that end with CR LF; a lone CR or LF is part of its line. */
export class LineReader {
  parts = [];
  tail = '';

  constructor(onLine) {
    this.onLine = onLine;
  }

  push(bytes) {
    const text = bytes.toString('latin1');
    const joined = this.tail + text;
    this.tail = joined.slice(-1);
    if (!joined.includes(END)) {
      this.parts.push(text);
      return;
    }
    let rest = this.parts.join('') + text;
    this.parts = [];
    let end = rest.indexOf(END);
    while (end >= 0) {
      const line = rest.slice(0, end);
      rest = rest.slice(end + END.length);
      this.onLine(line);
      end = rest.indexOf(END);
    }
    this.parts = rest === '' ? [] : [rest];
    this.tail = rest.slice(-1);
  }
}

/** Splits a text at its first blanks into at most `count` fields. */
export function splitFields(text, count) {
  const fields = [];
  let rest = text;
  while (fields.length < count - 1 && rest.includes(' ')) {
    const blank = rest.indexOf(' ');
    fields.push(rest.slice(0, blank));
    rest = rest.slice(blank + 1);
  }
  return [...fields, rest];
}

/** One service: its instances, their logs, replication and promotions. */
export class Service {
  instances = [];
  highestFence = 0;
  runs = [];

  constructor(name, options) {
    const {
      slots = 4,
      connections = 54,
      workMs = 5,
      lagMs = 8,
      promoteMs = 600,
      handshakeMs = 12,
      record,
    } = options;
    Object.assign(this, {
      name,
      slots,
      connections,
      workMs,
      lagMs,
      promoteMs,
      handshakeMs,
      record,
    });
  }

  get primary() {
    return this.instances.find(({ role }) => role === 'primary');
  }

  add(id, zone, address) {
    const role = this.instances.length === 0 ? 'primary' : 'replica';
    const instance = new Instance(this, id, zone, address, role);
    this.instances.push(instance);
    return instance;
  }

  /** Takes an order of the system; returns the status of its answer. */
  promote(id, fence) {
    const chosen = this.instances.find((each) => each.id === id);
    if (fence < this.highestFence || chosen?.isRunning !== true) {
      return 409;
    }
    this.highestFence = fence;
    if (chosen.role !== 'primary') {
      setTimeout(() => this.lead(chosen), this.promoteMs);
    }
    return 200;
  }

  lead(chosen) {
    if (!chosen.isRunning || chosen.role === 'primary') {
      return;
    }
    const former = this.primary;
    const term = Math.max(...this.instances.map((each) => each.term)) + 1;
    if (former !== undefined) {
      former.role = 'replica';
      former.loseLead();
    }
    chosen.role = 'primary';
    chosen.term = term;
    chosen.applied = chosen.log.length;
    this.record(`platform: ${chosen.id} leads term ${term}`);
    for (const replica of this.instances) {
      if (replica !== chosen) {
        replica.receive(chosen);
      }
    }
  }
}

/** One instance of a service. */
export class Instance {
  term = 1;
  log = [];
  applied = 0;
  isRunning = false;
  busy = 0;
  sequence = 0;
  born = Date.now();
  sessions = new Set();
  /** Connections that wait for a slot, and the number of those that were accepted. */
  handshakes = [];
  accepted = 0;

  constructor(service, id, zone, address, role) {
    Object.assign(this, { service, id, zone, address, role });
  }

  async start() {
    const [host, port] = this.address.split(':');
    this.server = createServer({ noDelay: true }, (socket) => new ServerSession(this, socket));
    await new Promise((resolve) => this.server.listen(Number(port), host, resolve));
    this.isRunning = true;
  }

  /** Ends at once, as a process that is killed: its connections are reset and its log stays. */
  async stop() {
    this.isRunning = false;
    this.handshakes = [];
    for (const session of [...this.sessions]) {
      session.socket.resetAndDestroy();
    }
    await new Promise((resolve) => (this.server ? this.server.close(resolve) : resolve()));
  }

  /** A new connection occupies a slot for some time; without a free one it waits. */
  shakeHands(done) {
    if (this.busy >= this.service.slots) {
      this.handshakes.push(done);
      return;
    }
    this.busy += 1;
    setTimeout(() => {
      this.freeSlot();
      done();
    }, this.service.handshakeMs);
  }

  freeSlot() {
    this.busy -= 1;
    const next = this.handshakes.shift();
    if (next !== undefined) {
      this.shakeHands(next);
    }
  }

  get position() {
    return `${this.term}.${this.applied}`;
  }

  loseLead() {
    for (const session of this.sessions) {
      session.hasLostLead = session.transaction?.isPlain === true;
    }
  }

  /** Takes over the log of the primary; applies it later. */
  receive(primary) {
    if (!this.isRunning || primary.role !== 'primary') {
      return false;
    }
    this.term = primary.term;
    this.log = [...primary.log];
    this.applied = Math.min(this.applied, this.log.length);
    const { length } = this.log;
    setTimeout(() => {
      this.applied = Math.max(this.applied, Math.min(length, this.log.length));
    }, this.service.lagMs);
    return true;
  }

  /** Appends a commit; calls back once a replica has received it. */
  commit(changes, onAcknowledged) {
    this.log.push(changes);
    this.applied = this.log.length;
    let isReceived = false;
    for (const replica of this.service.instances) {
      if (replica !== this) {
        setTimeout(() => {
          if (replica.receive(this) && !isReceived) {
            isReceived = true;
            onAcknowledged();
          }
        }, NETWORK_MS);
      }
    }
  }

  read(item) {
    for (let index = this.applied - 1; index >= 0; index -= 1) {
      const change = this.log[index].findLast(([name]) => name === item);
      if (change !== undefined) {
        return change[1];
      }
    }
    return undefined;
  }
}

/** One connection of the system to an instance. */
class ServerSession {
  waiting = [];
  isBusy = false;
  isConnected = false;
  hasLostLead = false;
  state = 'I';
  tenant = '-';
  transaction = undefined;
  values = new Map();
  prepared = new Map();
  proofs = 0;

  constructor(instance, socket) {
    this.instance = instance;
    this.socket = socket;
    instance.sessions.add(this);
    const reader = new LineReader((line) => {
      this.waiting.push(line);
      this.next();
    });
    socket.on('data', (bytes) => reader.push(bytes));
    socket.on('error', () => socket.destroy());
    socket.on('end', () => socket.end());
    socket.on('close', () => instance.sessions.delete(this));
  }

  next() {
    if (this.isBusy || this.waiting.length === 0) {
      return;
    }
    const line = this.waiting.shift();
    if (line.length + END.length > MAXIMUM_LINE_BYTES) {
      this.socket.destroy();
      return;
    }
    const [word, first = '', rest = ''] = splitFields(line, 3);
    if (!this.isConnected) {
      this.connect(word, first, rest);
    } else if (word === 'QUERY') {
      this.query(first, rest);
    } else {
      this.socket.end();
    }
  }

  connect(word, service, rest) {
    const { id, service: own } = this.instance;
    const [tenant = '-', expected] = rest.split(' ');
    if (word !== 'CONNECT' || service !== own.name || (expected ?? id) !== id) {
      this.socket.end(`ERROR MOVED ${id}${END}`);
      return;
    }
    if (this.instance.sessions.size > own.connections) {
      this.socket.end(`ERROR TOOMANY ${id}${END}`);
      return;
    }
    this.tenant = tenant;
    this.isBusy = true;
    this.instance.accepted += 1;
    this.instance.shakeHands(() => {
      this.isBusy = false;
      this.isConnected = true;
      this.ready();
    });
  }

  query(id, text) {
    const { instance, tenant } = this;
    const [word, place = '', rest = ''] = splitFields(text, 3);
    const isAfter = word === 'AFTER';
    const run = {
      atMs: Date.now(),
      instance: instance.id,
      zone: instance.zone,
      tenant,
      id,
      text: isAfter ? rest : text,
    };
    if (id !== '-') {
      instance.service.runs.push(run);
      const shown =
        run.text.length > 120 ? `${run.text.slice(0, 60)}... (${run.text.length} bytes)` : run.text;
      instance.service.record(
        `${instance.id} (${instance.zone}) gets for ${tenant}: ${id} ${JSON.stringify(shown)}`,
      );
    }
    if (isAfter) {
      const [term, number] = place.split('.').map(Number);
      if (term > instance.term || number > instance.applied) {
        this.fail('LAGGING');
        return;
      }
    }
    this.run(isAfter ? rest : text);
  }

  run(text) {
    const [word, name = '', rest = ''] = splitFields(text, 3);
    const endsTransaction = word === 'ROLLBACK';
    if ((this.hasLostLead || this.state === 'E') && !endsTransaction) {
      this.fail(this.hasLostLead ? 'READONLY' : 'MALFORMED');
      return;
    }
    switch (word) {
      case 'BEGIN':
        if (name === '' && this.instance.role !== 'primary') {
          this.fail('READONLY');
          return;
        }
        this.transaction = { isPlain: name === '', changes: [] };
        this.state = 'T';
        this.done('-');
        return;
      case 'ROLLBACK':
        this.endTransaction();
        this.done('-');
        return;
      case 'COMMIT':
        this.inSlot(() => this.commit());
        return;
      case 'FETCH':
        this.inSlot(() => this.fetch(name));
        return;
      case 'PUT':
        this.inSlot(() => this.put(name, rest));
        return;
      case 'SET':
        this.values.set(name, rest);
        this.done('-');
        return;
      case 'PREPARE':
        this.prepared.set(name, splitFields(rest, 2)[0]);
        this.done('-');
        return;
      case 'EXECUTE':
        this.execute(name, rest);
        return;
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        this.done('-');
        return;
      case 'STATUS': {
        const { role, term, log, busy, sessions } = this.instance;
        this.done(
          '-',
          `ROW ${role} ${term} ${term}.${log.length} 0 0 ${busy} ${sessions.size}${END}`,
        );
        return;
      }
      default:
        this.fail('MALFORMED');
    }
  }

  execute(name, rest) {
    const kind = this.prepared.get(name);
    if (kind === undefined) {
      this.fail('NOSTMT');
      return;
    }
    this.run(`${kind} ${rest}`);
  }

  fetch(item) {
    const own = this.transaction?.changes.findLast(([name]) => name === item);
    const data = own === undefined ? this.instance.read(item) : own[1];
    this.done(this.createProof(), data === undefined ? '' : `ROW ${data}${END}`);
  }

  put(item, data) {
    if (this.instance.role !== 'primary') {
      this.fail('READONLY');
      return;
    }
    if (this.transaction !== undefined) {
      this.transaction.changes.push([item, data]);
      this.done(this.createProof());
      return;
    }
    this.isBusy = true;
    this.instance.commit([[item, data]], () => this.finish());
  }

  commit() {
    const { transaction } = this;
    if (transaction === undefined) {
      this.fail('MALFORMED');
      return;
    }
    this.endTransaction();
    if (transaction.changes.length === 0) {
      this.done(this.createProof());
      return;
    }
    this.isBusy = true;
    this.instance.commit(transaction.changes, () => this.finish());
  }

  finish() {
    this.isBusy = false;
    this.done(this.createProof());
  }

  createProof() {
    this.proofs += 1;
    return `${this.instance.id}.${this.proofs.toString(16)}`;
  }

  endTransaction() {
    this.transaction = undefined;
    this.hasLostLead = false;
    this.state = 'I';
  }

  inSlot(work) {
    const { service } = this.instance;
    if (this.instance.busy >= service.slots) {
      this.fail('BUSY');
      return;
    }
    this.instance.busy += 1;
    this.isBusy = true;
    setTimeout(() => {
      this.instance.freeSlot();
      this.isBusy = false;
      if (!this.socket.destroyed) {
        work();
      }
    }, service.workMs);
  }

  fail(code) {
    if (this.transaction !== undefined && code !== 'LAGGING' && code !== 'BUSY') {
      this.state = 'E';
    }
    this.write(`ERROR ${code} ${this.instance.id}${END}`);
    this.ready();
  }

  done(proof, rows = '') {
    this.write(`${rows}DONE ${proof}${END}`);
    this.ready();
  }

  ready() {
    this.write(`READY ${this.state} ${this.instance.position}${END}`);
    this.next();
  }

  write(text) {
    if (!this.socket.destroyed) {
      this.socket.write(text, 'latin1');
    }
  }
}
