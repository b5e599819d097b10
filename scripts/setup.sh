# Functions that install missing tools; sourced by the commands in the root directory.

# Installs a Debian package unless the command that it provides exists.
need_package() {
  local command=$1 package=$2
  if command -v "$command" >/dev/null; then
    return
  fi
  echo "installing $package"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "$package" >/dev/null
}

need_java() {
  need_package javac openjdk-17-jdk-headless
  need_package mvn maven
}

need_spin() {
  need_package gcc gcc
  need_package spin spin
}
