// Fills in a settings template as DEPLOY.md describes it.

function lookup(scopes, path) {
  if (path === ".") return scopes.at(-1).value;
  const [first, ...rest] = path.split(".");
  for (const { value } of [...scopes].reverse()) {
    if (typeof value !== "object" || value === null || !(first in value)) {
      continue;
    }
    return rest.reduce((from, name) => from?.[name], value[first]);
  }
  return undefined;
}

function plain(value) {
  if (value === undefined || value === null) return "";
  if (Array.isArray(value)) return value.join(",");
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

const isFalse = (value) =>
  value === undefined || value === null || value === false;

/** Returns the text of a template with the values of `fields`. */
export function fill(template, fields) {
  return render(template, [{ value: fields }]);
}

function render(text, scopes) {
  let result = "";
  for (;;) {
    const tag = /\{\{(.+?)\}\}/.exec(text);
    if (tag === null) return result + text;
    result += text.slice(0, tag.index);
    text = text.slice(tag.index + tag[0].length);
    const word = tag[1];
    if (word[0] === "#" || word[0] === "^") {
      const path = word.slice(1);
      const close = `{{/${path}}}`;
      const end = text.indexOf(close);
      const inner = text.slice(0, end);
      text = text.slice(end + close.length);
      result += section(inner, word[0], lookup(scopes, path), scopes);
    } else if (word === ",") {
      result += scopes.at(-1).last ? "" : ",";
    } else if (word === "@") {
      result += scopes.at(-1).key;
    } else {
      const [path, form] = word.split("|");
      const value = lookup(scopes, path);
      result += form === "json" ? JSON.stringify(value ?? null) : plain(value);
    }
  }
}

function section(inner, kind, value, scopes) {
  if (kind === "^") return isFalse(value) ? render(inner, scopes) : "";
  if (isFalse(value)) return "";
  if (typeof value !== "object") return render(inner, scopes);
  const entries = Object.entries(value);
  return entries.map(([key, entry], index) =>
    render(inner, [...scopes, {
      value: entry,
      key,
      last: index === entries.length - 1,
    }])
  ).join("");
}
