// A database group of the users' platform: one primary and its replicas, as PROTOCOL.md has them.
import { createServer } from 'node:net';

const END = '\r\n';

function split(text, count) {
  const words = [];
  let start = 0;
  while (words.length < count - 1) {
    const end = text.indexOf(' ', start);
    if (end < 0) break;
    words.push(text.slice(start, end));
    start = end + 1;
  }
  words.push(text.slice(start));
  return words;
}

/** One service: its instances share the log of the primary. */
export class Group {
  constructor({ service, slots, maxConns, workMs, handshakeMs, lagMs, promoteMs }, record) {
    Object.assign(this, { service, slots, maxConns, workMs, handshakeMs, lagMs, promoteMs });
    this.record = record;
    this.instances = [];
    this.term = 1;
    this.highestToken = 0;
  }

  get primary() {
    return this.instances.find(({ role }) => role === 'primary');
  }

  /** Copies a commit to the replicas; calls back once one replica has received it. */
  replicate(primary, onReceived) {
    let isReceived = false;
    const length = primary.log.length;
    for (const replica of this.instances) {
      if (replica === primary || !replica.isRunning || replica.term !== primary.term) continue;
      setTimeout(() => {
        if (!replica.isRunning || replica.term !== primary.term) return;
        replica.log = primary.log.slice(0, Math.max(replica.log.length, length));
        if (!isReceived) {
          isReceived = true;
          onReceived();
        }
        setTimeout(() => {
          replica.applied = Math.max(replica.applied, Math.min(length, replica.log.length));
        }, this.lagMs);
      }, 1);
    }
  }

  /** Carries out a promotion order; returns the HTTP status of its answer. */
  async promote(id, token) {
    this.record(`platform promote ${id} token ${token} (highest ${this.highestToken})`);
    if (token < this.highestToken) return 409;
    this.highestToken = token;
    const next = this.instances.find((each) => each.id === id);
    if (next === undefined || !next.isRunning) return 409;
    if (next.role === 'primary' || this.promoting === next) return 200;
    this.promoting = next;
    await new Promise((resolve) => setTimeout(resolve, this.promoteMs));
    if (this.promoting !== next) return 409;
    this.promoting = undefined;
    if (token < this.highestToken || !next.isRunning) return 409;
    const last = this.primary;
    this.term += 1;
    if (last !== undefined) {
      last.role = 'replica';
      for (const connection of last.connections) connection.loseLead();
    }
    next.role = 'primary';
    for (const each of this.instances) {
      if (!each.isRunning) continue;
      each.term = this.term;
      let common = 0;
      while (common < each.log.length && each.log[common] === next.log[common]) common += 1;
      each.log = each === next ? next.log : next.log.slice();
      each.applied = each === next ? next.log.length : Math.min(each.applied, common);
    }
    setTimeout(() => {
      for (const each of this.instances) each.applied = each.log.length;
    }, this.lagMs);
    this.record(`promoted ${id}, term ${this.term}, from ${next.log.length}`);
    return 200;
  }
}

/** One instance of a group. */
export class Instance {
  constructor(group, id, zone, host) {
    Object.assign(this, { group, id, zone, host });
    this.role = 'replica';
    this.term = 1;
    this.log = [];
    this.applied = 0;
    this.busy = 0;
    this.isRunning = false;
    this.sequence = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.connections = new Set();
    group.instances.push(this);
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.server = createServer({ noDelay: true }, (socket) => new Connection(this, socket));
    await new Promise((resolve) => this.server.listen(0, this.host, resolve));
    this.port = this.server.address().port;
    this.isRunning = true;
  }

  /** Starts again after a crash, with its log. */
  async restart() {
    const { port, group } = this;
    this.server = createServer({ noDelay: true }, (socket) => new Connection(this, socket));
    await new Promise((resolve) => this.server.listen(port, this.host, resolve));
    this.isRunning = true;
    this.sequence = 0;
    this.born = Date.now();
    this.busy = 0;
    const { primary } = group;
    if (primary !== undefined && primary !== this) {
      this.term = group.term;
      this.log = primary.log.slice();
      this.applied = this.log.length;
    }
  }

  stop() {
    this.isRunning = false;
    this.server.close();
    for (const connection of this.connections) connection.socket.destroy();
  }

  read(item) {
    for (let index = this.applied - 1; index >= 0; index -= 1) {
      const found = this.log[index].changes.findLast(([name]) => name === item);
      if (found !== undefined) return found[1];
    }
    return undefined;
  }
}

class Connection {
  constructor(instance, socket) {
    this.instance = instance;
    this.socket = socket;
    this.text = '';
    this.waiting = [];
    this.state = 'I';
    this.values = new Map();
    this.prepared = new Map();
    this.openedMs = Date.now();
    socket.setEncoding('latin1');
    socket.on('error', () => socket.destroy());
    socket.on('close', () => instance.connections.delete(this));
    if (instance.connections.size >= instance.group.maxConns) {
      socket.end(`ERROR TOOMANY ${instance.id}${END}`);
      return;
    }
    instance.connections.add(this);
    socket.on('data', (chunk) => this.receive(chunk));
  }

  loseLead() {
    this.hasLostLead = this.transaction?.isPlain === true;
  }

  receive(chunk) {
    this.text += chunk;
    for (let end = this.text.indexOf(END); end >= 0; end = this.text.indexOf(END)) {
      this.waiting.push(this.text.slice(0, end));
      this.text = this.text.slice(end + END.length);
    }
    this.next();
  }

  next() {
    if (this.isWorking || this.socket.destroyed) return;
    const line = this.waiting.shift();
    if (line === undefined) return;
    const [word, first = '', rest = ''] = split(line, 3);
    if (word === 'QUIT') {
      this.socket.end();
    } else if (!this.isConnected) {
      this.connect(word, first, rest);
    } else if (word === 'QUERY') {
      this.query(first, rest);
    } else {
      this.socket.destroy();
    }
  }

  connect(word, service, rest) {
    const { instance } = this;
    const [who = '-', id = instance.id] = rest.split(' ');
    if (word !== 'CONNECT' || service !== instance.group.service || id !== instance.id) {
      this.socket.end(`ERROR MOVED ${instance.id}${END}`);
      return;
    }
    this.isConnected = true;
    this.who = who;
    this.work(instance.group.handshakeMs, () => this.ready(''));
  }

  query(id, text) {
    const { instance } = this;
    this.lastId = id;
    const trouble = instance.group.getTrouble?.({ instance, connection: this, id, text });
    this.trouble = trouble;
    if (trouble === 'reset') {
      this.socket.destroy();
      return;
    }
    if (trouble === 'busy') {
      this.fail('BUSY');
      return;
    }
    let rest = text;
    if (text.startsWith('AFTER ')) {
      const [, wanted, remainder = ''] = split(text, 3);
      const [term, number] = wanted.split('.').map(Number);
      rest = remainder;
      if (term > instance.term || number > instance.applied) {
        this.fail('LAGGING');
        return;
      }
    }
    const [word, name = '', data = ''] = split(rest, 3);
    if (this.state === 'E' && word !== 'ROLLBACK') {
      this.fail('MALFORMED');
      return;
    }
    this.run(id, word, name, data, rest);
  }

  run(id, word, name, data, text) {
    const { instance } = this;
    const lostLead = this.hasLostLead && word !== 'ROLLBACK';
    if (lostLead && !(word === 'COMMIT' && this.transaction.changes.length === 0)) {
      this.fail('READONLY');
      return;
    }
    const note = (what) => {
      if (id !== '-') instance.group.onRun?.({ instance, connection: this, id, text, what });
    };
    switch (word) {
      case 'BEGIN':
        if (name === '' && instance.role !== 'primary') {
          this.fail('READONLY');
          return;
        }
        this.transaction = { isPlain: name === '', changes: [], sinceMs: Date.now() };
        this.state = 'T';
        this.ready(`DONE -${END}`);
        return;
      case 'ROLLBACK':
        this.endTransaction();
        this.ready(`DONE -${END}`);
        return;
      case 'COMMIT':
        this.inSlot(() => this.commit(id, note));
        return;
      case 'FETCH':
        this.inSlot(() => {
          note('read');
          const own = this.transaction?.changes.findLast(([item]) => item === name)?.[1];
          const value = own ?? instance.read(name);
          const row = value === undefined ? '' : `ROW ${value}${END}`;
          this.ready(`${row}DONE ${instance.id}/${id}${END}`);
        });
        return;
      case 'PUT':
        if (instance.role !== 'primary' || this.transaction?.isPlain === false) {
          this.fail('READONLY');
          return;
        }
        this.inSlot(() => {
          note('write');
          if (this.transaction !== undefined) {
            this.transaction.changes.push([name, data]);
            this.ready(`DONE ${instance.id}/${id}${END}`);
            return;
          }
          this.append([[name, data]], id);
        });
        return;
      case 'SET':
        this.values.set(name, data);
        this.ready(`DONE -${END}`);
        return;
      case 'PREPARE':
        this.prepared.set(name, split(data, 2)[0]);
        this.ready(`DONE -${END}`);
        return;
      case 'EXECUTE': {
        const kind = this.prepared.get(name);
        if (kind === undefined) {
          this.fail('NOSTMT');
          return;
        }
        const [item, value = ''] = split(data, 2);
        this.run(id, kind, item, value, text);
        return;
      }
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        this.ready(`DONE -${END}`);
        return;
      case 'STATUS':
        this.inSlot(() => {
          const { role, term, log, busy, connections } = instance;
          const row = `ROW ${role} ${term} ${term}.${log.length} 0 0 ${busy} ${connections.size}`;
          this.ready(`${row}${END}DONE -${END}`);
        }, 1);
        return;
      default:
        this.fail('MALFORMED');
    }
  }

  commit(id, note) {
    const { transaction, instance } = this;
    if (transaction === undefined) {
      this.fail('MALFORMED');
      return;
    }
    note('commit');
    this.endTransaction();
    if (transaction.changes.length === 0) {
      this.ready(`DONE ${instance.id}/${id}${END}`);
    } else if (instance.role !== 'primary') {
      this.fail('READONLY');
    } else {
      this.append(transaction.changes, id);
    }
  }

  append(changes, id) {
    const { instance } = this;
    instance.log.push({ term: instance.term, changes, id });
    instance.applied = instance.log.length;
    this.isWorking = true;
    instance.group.replicate(instance, () => {
      this.isWorking = false;
      this.ready(`DONE ${instance.id}/${id}${END}`);
    });
  }

  endTransaction() {
    this.transaction = undefined;
    this.hasLostLead = false;
    this.state = 'I';
  }

  inSlot(run, workMs = this.instance.group.workMs) {
    const { instance } = this;
    if (instance.busy >= instance.group.slots) {
      this.fail('BUSY');
      return;
    }
    this.work(workMs, run);
  }

  /** Occupies a slot for a while. */
  work(workMs, run) {
    const { instance } = this;
    instance.busy += 1;
    this.isWorking = true;
    setTimeout(() => {
      instance.busy -= 1;
      this.isWorking = false;
      if (!this.socket.destroyed) run();
    }, workMs);
  }

  fail(code) {
    const isNotRun = code === 'BUSY' || code === 'LAGGING' || code === 'NOSTMT';
    if (this.transaction !== undefined && !isNotRun) this.state = 'E';
    this.ready(`ERROR ${code} ${this.instance.id}${END}`);
  }

  /** Answers a message, unless the answer is to be lost, cut off or late. */
  ready(text) {
    const { instance, state, trouble } = this;
    const answer = `${text}READY ${state} ${instance.term}.${instance.applied}${END}`;
    this.trouble = undefined;
    if (trouble === 'lost') return;
    if (trouble === 'cut') {
      this.socket.write(answer.slice(0, answer.length / 2), () => this.socket.destroy());
      return;
    }
    if (typeof trouble === 'number') {
      this.isWorking = true;
      setTimeout(() => {
        this.isWorking = false;
        if (!this.socket.destroyed) this.socket.write(answer);
        this.next();
      }, trouble);
      return;
    }
    if (!this.socket.destroyed) this.socket.write(answer);
    this.next();
  }
}
